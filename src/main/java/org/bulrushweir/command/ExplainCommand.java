package org.bulrushweir.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.bulrushweir.explain.ExplanationFields;
import org.bulrushweir.explain.ExplanationText;
import org.bulrushweir.settings.GatewaySettingsLoader;
import org.bulrushweir.settings.SocketAddressSettings;

/** Asks a gateway where it would send a request now, without sending one. */
final class ExplainCommand implements Command {

  /** How long a gateway may take to answer, in milliseconds. */
  private static final long TIMEOUT_MS = 2_000;

  /** The longest answer, in bytes; one with five endpoints has less than 4 KB. */
  private static final long MAX_ANSWER_BYTES = 65_536;

  private static final int DEFAULT_PORT = 9_464;
  private static final String LOOPBACK = "127.0.0.1";
  private static final String ANY_ADDRESS = "0.0.0.0";
  private static final String GATEWAY = "gateway";
  private static final String SETTINGS = "settings";
  private static final String HOST = "host";
  private static final String PATH = "path";
  private static final String ORGANISATION = "organisation";
  private static final String PROMPT = "prompt";
  private static final String OUTPUT = "output-tokens";
  private static final String DEADLINE = "deadline-ms";
  private static final String ID = "request-id";
  private static final String JSON = "json";

  @Override
  public String name() {
    return "explain";
  }

  @Override
  public String summary() {
    return "ask a gateway where a request would go now and why, without sending it";
  }

  @Override
  public void declareOptions(final OptionParser parser) {
    parser
        .accepts(GATEWAY, "the gateway's address for metrics; by default 127.0.0.1:9464")
        .withRequiredArg();
    parser.accepts(SETTINGS, "the gateway's settings, which state that address").withRequiredArg();
    parser.accepts(HOST, "the host that the request names").withRequiredArg().required();
    parser.accepts(PATH, "the path of the request").withRequiredArg().required();
    parser.accepts(ORGANISATION, "the name of the organisation, not a key").withRequiredArg();
    parser.accepts(PROMPT, "the prompt's segments, ID:TOKENS,...").withRequiredArg();
    parser
        .accepts(OUTPUT, "the highest number of output tokens")
        .withRequiredArg()
        .ofType(Long.class);
    parser
        .accepts(DEADLINE, "how long the caller waits, in milliseconds")
        .withRequiredArg()
        .ofType(Long.class);
    parser
        .accepts(ID, "the request's id, which decides between services and equal endpoints")
        .withRequiredArg();
    parser.accepts(JSON, "print JSON");
  }

  @Override
  public ExitCode run(final OptionSet options, final Console console) throws IOException {
    final HostAndPort gateway = gateway(options);
    final OkHttpClient client =
        new OkHttpClient.Builder().callTimeout(TIMEOUT_MS, TimeUnit.MILLISECONDS).build();
    try (Response response =
        client.newCall(new Request.Builder().url(url(gateway, options)).build()).execute()) {
      final String body = response.peekBody(MAX_ANSWER_BYTES).string();
      return report(gateway, response.code(), body, options.has(JSON), console);
    } catch (JsonProcessingException e) {
      console.err().println(gateway + " serves no explanations: it is no gateway, or an older one");
      return ExitCode.FAILED;
    } catch (IOException e) {
      console.err().println("the gateway at " + gateway + " does not answer: " + e.getMessage());
      return ExitCode.UNAVAILABLE;
    } finally {
      client.dispatcher().executorService().shutdown();
      client.connectionPool().evictAll();
    }
  }

  private static HostAndPort gateway(final OptionSet options) throws IOException {
    if (options.has(GATEWAY)) {
      try {
        return HostAndPort.fromString((String) options.valueOf(GATEWAY))
            .withDefaultPort(DEFAULT_PORT);
      } catch (IllegalArgumentException e) {
        throw new UsageException("--gateway is not an address");
      }
    }
    if (!options.has(SETTINGS)) {
      return HostAndPort.fromParts(LOOPBACK, DEFAULT_PORT);
    }
    final Path file = Path.of((String) options.valueOf(SETTINGS));
    final SocketAddressSettings address =
        GatewaySettingsLoader.load(file.toString(), Files.readString(file)).metrics();
    return HostAndPort.fromParts(
        address.host().equals(ANY_ADDRESS) ? LOOPBACK : address.host(), address.port());
  }

  private static HttpUrl url(final HostAndPort gateway, final OptionSet options) {
    final HttpUrl base = HttpUrl.parse("http://" + gateway + ExplanationFields.PATH);
    if (base == null) {
      throw new UsageException(gateway + " is not the address of a gateway");
    }
    final HttpUrl.Builder url = base.newBuilder();
    add(url, options, HOST, ExplanationFields.HOST);
    add(url, options, PATH, ExplanationFields.REQUEST_PATH);
    add(url, options, ORGANISATION, ExplanationFields.ORGANISATION);
    add(url, options, PROMPT, ExplanationFields.PROMPT);
    add(url, options, OUTPUT, ExplanationFields.OUTPUT_TOKENS);
    add(url, options, DEADLINE, ExplanationFields.DEADLINE_MS);
    add(url, options, ID, ExplanationFields.ID);
    return url.build();
  }

  private static void add(
      final HttpUrl.Builder url,
      final OptionSet options,
      final String option,
      final String parameter) {
    if (options.has(option)) {
      url.addQueryParameter(parameter, options.valueOf(option).toString());
    }
  }

  private static ExitCode report(
      final HostAndPort gateway,
      final int status,
      final String body,
      final boolean json,
      final Console console)
      throws JsonProcessingException {
    final JsonNode answer = new ObjectMapper().readTree(body);
    final String error = answer.path(ExplanationFields.ERROR).asText();
    if (status == 200 && answer.isObject() || !error.isEmpty()) {
      if (json) {
        console.out().println(answer.toPrettyString());
      } else if (error.isEmpty()) {
        console.out().print(ExplanationText.format(answer));
      }
    }
    if (status == 200 && answer.isObject()) {
      return ExitCode.OK;
    }
    if (error.isEmpty()) {
      console.err().println(gateway + " serves no explanations: it is no gateway, or an older one");
      return ExitCode.FAILED;
    }
    console.err().println(error + ": " + answer.path(ExplanationFields.DETAIL).asText());
    return switch (error) {
      case ExplanationFields.NO_CONFIGURATION -> ExitCode.UNAVAILABLE;
      case ExplanationFields.INVALID -> ExitCode.USAGE;
      default -> ExitCode.FINDINGS;
    };
  }
}
