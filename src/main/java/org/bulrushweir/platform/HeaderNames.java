package org.bulrushweir.platform;

import io.netty.util.AsciiString;
import java.util.Set;

/** The names of headers between callers, the system and endpoints. */
final class HeaderNames {

  /** The caller's id of a request, echoed in answers. */
  static final AsciiString REQUEST_ID = AsciiString.cached("x-request-id");

  /** How many milliseconds the sender waits from now on; not a point in time. */
  static final AsciiString TIME_LEFT = AsciiString.cached("x-deadline-ms");

  /** The parts of the prompt. */
  static final AsciiString PROMPT_PARTS = AsciiString.cached("x-prompt-prefix");

  /** The tokens of the prompt and the longest answer in tokens, separated by a comma. */
  static final AsciiString TOKENS = AsciiString.cached("x-token-usage");

  /** The expected length of the answer, in tokens. */
  static final AsciiString LENGTH_HINT = AsciiString.cached("x-length-hint");

  /** An endpoint's load: requests running, requests waiting, slots and pace in percent. */
  static final AsciiString SERVER_LOAD = AsciiString.cached("x-server-load");

  /** Marks answers that an endpoint made. */
  static final AsciiString ANSWER_SEAL = AsciiString.cached("x-response-seal");

  /** The organisation on whose behalf a request is sent. */
  static final AsciiString ORGANISATION = AsciiString.cached("x-tenant");

  /** The only endpoint that may run a request. */
  static final AsciiString EXPECTED_ENDPOINT = AsciiString.cached("x-expect-instance");

  /** Proves that a request was not run. */
  static final AsciiString NOT_RUN = AsciiString.cached("x-not-executed");

  /** Announces in any answer of an endpoint that it is about to leave. */
  static final AsciiString LEAVING = AsciiString.cached("server-leaving");

  /** The rank of a request at an engine. */
  static final AsciiString PRIORITY = AsciiString.cached("x-request-priority");

  /** The last event that the receiver of a stream has. */
  static final AsciiString LAST_EVENT = AsciiString.cached("last-event-id");

  /** The engine, by its IP number and port, that hands over parts of the prompt. */
  static final AsciiString CACHE_SOURCE = AsciiString.cached("kv-fetch");

  /** Headers that only the system sets; a caller's are dropped. */
  static final Set<AsciiString> SYSTEM_ONLY =
      Set.of(
          ORGANISATION,
          EXPECTED_ENDPOINT,
          PRIORITY,
          AsciiString.cached("x-expect-version"),
          AsciiString.cached("x-hold"),
          AsciiString.cached("x-pin-ms"),
          AsciiString.cached("x-kv-backup"),
          AsciiString.cached("kv-from"),
          CACHE_SOURCE);

  /** Headers that must reach the endpoint as the caller sent them. */
  static final Set<AsciiString> PASSED_ON =
      Set.of(
          REQUEST_ID,
          PROMPT_PARTS,
          LAST_EVENT,
          AsciiString.cached("host"),
          AsciiString.cached("x-model"),
          TOKENS,
          LENGTH_HINT);

  private HeaderNames() {}
}
