package org.bulrushweir.explain;

/** The names of the fields of an explanation and of its parameters. */
public final class ExplanationFields {

  /** The path at which a gateway explains. */
  public static final String PATH = "/explain";

  /** The requested host, a parameter. */
  public static final String HOST = "host";

  /** The requested path, a parameter. */
  public static final String REQUEST_PATH = "path";

  /** The name of the organisation, a parameter and a field. */
  public static final String ORGANISATION = "organisation";

  /** The segments of the prompt, a parameter. */
  public static final String PROMPT = "prompt";

  /** The highest number of output tokens, a parameter. */
  public static final String OUTPUT_TOKENS = "output_tokens";

  /** The time that the caller waits, in milliseconds, a parameter and a field. */
  public static final String DEADLINE_MS = "deadline_ms";

  /** The id of the request, a parameter: it decides between services and equal endpoints. */
  public static final String ID = "id";

  /** Why there is no explanation. */
  public static final String ERROR = "error";

  /** The text for people beside an error or a decision. */
  public static final String DETAIL = "detail";

  /** The error that no configuration has been read. */
  public static final String NO_CONFIGURATION = "no_configuration";

  /** The error that no route matches. */
  public static final String NO_ROUTE = "no_route";

  /** The error that the configuration has no such organisation. */
  public static final String UNKNOWN_ORGANISATION = "unknown_organisation";

  /** The error that a parameter can't be read. */
  public static final String INVALID = "invalid";

  private ExplanationFields() {}
}
