package org.bulrushweir.settings;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import okhttp3.HttpUrl;
import org.bulrushweir.api.FindingCollector;
import org.bulrushweir.api.Identifiers;
import org.bulrushweir.api.InvalidInputException;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.toml.TomlReader;

/** Parses and validates the settings of a router or sidecar. */
public final class ProcessSettingsLoader {

  private static final long DEFAULT_PLATFORM_TIMEOUT_MS = 1_000;
  private static final long MAXIMUM_PLATFORM_TIMEOUT_MS = 60_000;
  private static final long DEFAULT_VM_POLL_MS = 5_000;
  private static final long DEFAULT_CONFIG_POLL_MS = 30_000;
  private static final long MAXIMUM_POLL_MS = 3_600_000;

  private final FindingCollector findings = new FindingCollector();
  private final TomlReader root;

  private ProcessSettingsLoader(final String source, final String text) {
    this.root = TomlReader.parse(source, text, findings);
  }

  /**
   * Parses and validates the settings of a router.
   *
   * @param source the name of the file, used in findings
   * @param text the TOML text
   * @return the settings
   * @throws InvalidInputException with all findings, if there are any
   */
  public static ProcessSettings loadRouter(final String source, final String text) {
    return new ProcessSettingsLoader(source, text).load(false);
  }

  /**
   * Parses and validates the settings of a sidecar.
   *
   * @param source the name of the file, used in findings
   * @param text the TOML text
   * @return the settings
   * @throws InvalidInputException with all findings, if there are any
   */
  public static ProcessSettings loadSidecar(final String source, final String text) {
    return new ProcessSettingsLoader(source, text).load(true);
  }

  private ProcessSettings load(final boolean sidecar) {
    findings.throwIfAny();
    final String node = name("node");
    final String zone = name("zone");
    final SocketAddressSettings peer = SocketAddressSettings.read(root.table("peer"));
    final SocketAddressSettings http = SocketAddressSettings.read(root.table("http"));
    final TomlReader platform = root.table("platform");
    final HttpUrl platformUrl = url(platform, "url");
    final long timeoutMs =
        platform.integer("timeout_ms", DEFAULT_PLATFORM_TIMEOUT_MS, 1, MAXIMUM_PLATFORM_TIMEOUT_MS);
    final long vmPollMs = platform.integer("vm_poll_ms", DEFAULT_VM_POLL_MS, 1, MAXIMUM_POLL_MS);
    final long configPollMs =
        platform.integer("config_poll_ms", DEFAULT_CONFIG_POLL_MS, 1, MAXIMUM_POLL_MS);
    final TomlReader log = root.table("log");
    final LogFormat format = log.enumValue("format", LogFormat.class, LogFormat.TEXT);
    final LogLevel level = log.enumValue("level", LogLevel.class, LogLevel.INFO);
    String service = "";
    HttpUrl endpointUrl = null;
    if (sidecar) {
      service = name("service");
      endpointUrl = url(root.table("endpoint"), "url");
    }
    final List<InetSocketAddress> seeds = seeds();
    root.reportUnknownKeys();
    findings.throwIfAny();
    return new ProcessSettings(
        new NodeId(node),
        new ZoneName(zone),
        peer,
        http,
        platformUrl,
        timeoutMs,
        vmPollMs,
        configPollMs,
        seeds,
        format,
        level,
        sidecar ? new ServiceName(service) : null,
        endpointUrl);
  }

  private List<InetSocketAddress> seeds() {
    final List<InetSocketAddress> seeds = new ArrayList<>();
    for (final String text : root.texts("seeds")) {
      try {
        final HostAndPort parsed = HostAndPort.fromString(text);
        seeds.add(
            new InetSocketAddress(InetAddresses.forString(parsed.getHost()), parsed.getPort()));
      } catch (IllegalArgumentException | IllegalStateException e) {
        root.reportAt(
            "seeds", "\"" + text + "\" is not an IP address and port such as 10.0.0.1:7400");
      }
    }
    return seeds;
  }

  private String name(final String key) {
    final String text = root.text(key);
    if (!text.isEmpty() && !Identifiers.isValid(text)) {
      root.reportAt(key, "\"" + text + "\" is not a valid name");
    }
    return text;
  }

  private static HttpUrl url(final TomlReader reader, final String key) {
    final String text = reader.text(key);
    final HttpUrl url = HttpUrl.parse(text);
    if (url == null && !text.isEmpty()) {
      reader.reportAt(key, "\"" + text + "\" is not a URL such as http://127.0.0.1:8080");
    }
    return url;
  }
}
