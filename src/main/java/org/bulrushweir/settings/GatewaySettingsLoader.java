package org.bulrushweir.settings;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.util.Optional;
import java.util.OptionalLong;
import okhttp3.HttpUrl;
import org.bulrushweir.api.FindingCollector;
import org.bulrushweir.api.Identifiers;
import org.bulrushweir.api.InvalidInputException;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.balancing.RetryBudgetSettings;
import org.bulrushweir.balancing.SelectorSettings;
import org.bulrushweir.coldstart.ColdSettings;
import org.bulrushweir.dispatch.DispatchSettings;
import org.bulrushweir.toml.TomlReader;

/** Parses and validates the settings of a gateway. */
public final class GatewaySettingsLoader {

  /** The default time from SIGTERM to SIGKILL, in milliseconds. */
  private static final long DEFAULT_GRACE_MS = 8_000;

  /** The maximum time from SIGTERM to SIGKILL, in milliseconds. */
  private static final long MAXIMUM_GRACE_MS = 600_000;

  /** The default number of retries that each request adds to the budget; a tenth is usual. */
  private static final double DEFAULT_RETRY_RATIO = 0.1;

  /** The default number of retries per window that are allowed regardless of the traffic. */
  private static final double DEFAULT_RETRY_SLACK = 10;

  /** The maximum number of retries per window that are allowed regardless of the traffic. */
  private static final double MAXIMUM_RETRY_SLACK = 1_000_000;

  /** The default window of the retry budget, in seconds. */
  private static final double DEFAULT_RETRY_WINDOW_S = 10;

  /** The maximum window of the retry budget, in seconds. */
  private static final double MAXIMUM_RETRY_WINDOW_S = 3_600;

  /** The default limit on an endpoint's load, as a multiple of the mean load. */
  private static final double DEFAULT_LOAD_MULTIPLE = 2;

  /** The maximum limit on an endpoint's load, as a multiple of the mean load. */
  private static final double MAXIMUM_LOAD_MULTIPLE = 100;

  /** The default prefill rate of an engine in tokens per millisecond, from its data sheet. */
  private static final double DEFAULT_PREFILL_TOKENS_PER_MS = 69.8;

  /** The maximum prefill rate that is accepted as plausible, in tokens per millisecond. */
  private static final double MAXIMUM_PREFILL_TOKENS_PER_MS = 100_000;

  private static final String EVACUATION_KEY = "evacuation_ms";

  /** The shortest time in which an evacuation can be promised to be in force, in milliseconds. */
  private static final long MINIMUM_EVACUATION_MS = 1_000;

  /** The longest time in which an evacuation may come into force, in milliseconds. */
  private static final long MAXIMUM_EVACUATION_MS = 600_000;

  /** The maximum factor by which the rate of a cold endpoint may be exceeded. */
  private static final double MAXIMUM_COLD_OVERSHOOT = 100;

  /** The maximum number of further requests in a second to a cold endpoint. */
  private static final double MAXIMUM_COLD_SLACK = 10_000;

  /** The maximum number of requests that endpoints may have, as a multiple of their slots. */
  private static final double MAXIMUM_SLOT_MULTIPLE = 10;

  private static final double MS_PER_SECOND = 1_000;

  private final FindingCollector findings = new FindingCollector();
  private final TomlReader root;

  private GatewaySettingsLoader(final String source, final String text) {
    this.root = TomlReader.parse(source, text, findings);
  }

  /**
   * Parses and validates the settings.
   *
   * @param source the name of the file, used in findings
   * @param text the TOML text
   * @return the settings
   * @throws InvalidInputException with all findings, if there are any
   */
  public static GatewaySettings load(final String source, final String text) {
    return new GatewaySettingsLoader(source, text).load();
  }

  private GatewaySettings load() {
    findings.throwIfAny();
    final String node = name("node");
    final String zone = name("availability_zone");
    final TomlReader listen = root.table("listen");
    final SocketAddressSettings callers = address(listen, "callers");
    final SocketAddressSettings readiness = address(listen, "readiness");
    final SocketAddressSettings metrics = address(listen, "metrics");
    final SocketAddressSettings peers = address(listen, "peers");
    final TomlReader store = root.table("platform");
    final HttpUrl platform = platformUrl(store);
    final boolean sharedReading = store.flag("shared_reading", false);
    final boolean firstStart = root.flag("first_start", false);
    final long graceMs = graceMs(root);
    final RetryBudgetSettings retryBudget = readRetryBudget(root.table("repeats"));
    final SelectorSettings selector = selector(root.table("selection"));
    final OptionalLong evacuationMs = evacuationMs(root.table("zones"));
    final Optional<ColdSettings> cold = readCold(root.table("cold"));
    final DispatchSettings dispatch = dispatch(root.table("dispatch"));
    final TomlReader log = root.table("log");
    final LogFormat format = log.enumValue("format", LogFormat.class, LogFormat.JSON);
    final LogLevel level = log.enumValue("level", LogLevel.class, LogLevel.INFO);
    root.reportUnknownKeys();
    findings.throwIfAny();
    return new GatewaySettings(
        new NodeId(node),
        new ZoneName(zone),
        callers,
        readiness,
        metrics,
        peers,
        platform,
        sharedReading,
        firstStart,
        graceMs,
        retryBudget,
        selector,
        evacuationMs,
        cold,
        dispatch,
        format,
        level);
  }

  /** Reads the grace period, which platforms state in seconds. */
  private static long graceMs(final TomlReader reader) {
    final long statedMs = reader.integer("grace_ms", DEFAULT_GRACE_MS, 0, MAXIMUM_GRACE_MS);
    return (long)
        (MS_PER_SECOND
            * reader.templateNumber(
                "grace_s", statedMs / MS_PER_SECOND, 0, MAXIMUM_GRACE_MS / MS_PER_SECOND));
  }

  private static RetryBudgetSettings readRetryBudget(final TomlReader reader) {
    return new RetryBudgetSettings(
        reader.templateNumber("ratio", DEFAULT_RETRY_RATIO, 0, 1),
        reader.templateNumber("slack", DEFAULT_RETRY_SLACK, 0, MAXIMUM_RETRY_SLACK),
        (long)
            (MS_PER_SECOND
                * reader.templateNumber(
                    "window_s", DEFAULT_RETRY_WINDOW_S, 1, MAXIMUM_RETRY_WINDOW_S)));
  }

  /** Reads the limit on what cold endpoints get; it is off if neither value is stated. */
  private static Optional<ColdSettings> readCold(final TomlReader reader) {
    final boolean overshoot = reader.isFilled("overshoot");
    final boolean slack = reader.isFilled("slack");
    final ColdSettings settings =
        new ColdSettings(
            reader.templateNumber("overshoot", 1, 1, MAXIMUM_COLD_OVERSHOOT),
            reader.templateNumber("slack", 0, 0, MAXIMUM_COLD_SLACK));
    return overshoot || slack ? Optional.of(settings) : Optional.empty();
  }

  private static SelectorSettings selector(final TomlReader reader) {
    return new SelectorSettings(
        reader.templateNumber("load_multiple", DEFAULT_LOAD_MULTIPLE, 1, MAXIMUM_LOAD_MULTIPLE),
        reader.number(
            "prefill_tokens_per_ms",
            DEFAULT_PREFILL_TOKENS_PER_MS,
            1,
            MAXIMUM_PREFILL_TOKENS_PER_MS),
        reader.flag("stated_load", false));
  }

  private static OptionalLong evacuationMs(final TomlReader reader) {
    return reader.isFilled(EVACUATION_KEY)
        ? OptionalLong.of(
            (long)
                reader.templateNumber(
                    EVACUATION_KEY,
                    MINIMUM_EVACUATION_MS,
                    MINIMUM_EVACUATION_MS,
                    MAXIMUM_EVACUATION_MS))
        : OptionalLong.empty();
  }

  private static DispatchSettings dispatch(final TomlReader reader) {
    return new DispatchSettings(
        reader.flag("queue", DispatchSettings.OFF.queue()),
        reader.number(
            "slot_multiple", DispatchSettings.OFF.slotMultiple(), 1, MAXIMUM_SLOT_MULTIPLE));
  }

  private String name(final String key) {
    final String text = root.text(key);
    if (!text.isEmpty() && !Identifiers.isValid(text)) {
      root.reportAt(key, "\"" + text + "\" is not a valid name");
    }
    return text;
  }

  private static SocketAddressSettings address(final TomlReader reader, final String key) {
    final String text = reader.text(key);
    try {
      final HostAndPort parsed = HostAndPort.fromString(text);
      if (InetAddresses.isInetAddress(parsed.getHost())) {
        return new SocketAddressSettings(parsed.getHost(), parsed.getPort());
      }
    } catch (IllegalArgumentException | IllegalStateException e) {
      // Reported below, like addresses with a host name instead of an IP address.
    }
    if (!text.isEmpty()) {
      reader.reportAt(key, "\"" + text + "\" is not an IP address and port such as 10.0.0.1:7400");
    }
    return new SocketAddressSettings("127.0.0.1", 0);
  }

  private static HttpUrl platformUrl(final TomlReader reader) {
    final String text = reader.text("url");
    final HttpUrl url = HttpUrl.parse(text);
    if (url == null && !text.isEmpty()) {
      reader.reportAt("url", "\"" + text + "\" is not a URL such as http://127.0.0.1:8080");
    }
    return url;
  }
}
