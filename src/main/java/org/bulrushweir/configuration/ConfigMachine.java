package org.bulrushweir.configuration;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.bulrushweir.api.ConfigNumber;
import org.bulrushweir.api.InvalidInputException;
import org.bulrushweir.declaration.DeclarationLoader;

/**
 * State machine that decides which configuration is in force in a process. The number in force
 * never decreases. Not thread-safe.
 */
public final class ConfigMachine {

  private AcceptedConfig inForce;
  private boolean fetching;
  private String replacementDigest = "";

  /**
   * Returns the configuration in force.
   *
   * @return the configuration, empty before the first one was adopted
   */
  public Optional<AcceptedConfig> inForce() {
    return Optional.ofNullable(inForce);
  }

  /**
   * Returns the number of the configuration in force.
   *
   * @return the number, {@link ConfigNumber#NONE} before the first one was adopted
   */
  public ConfigNumber number() {
    return inForce == null ? ConfigNumber.NONE : inForce.number();
  }

  /**
   * Returns the digest of a configuration's text.
   *
   * @param text the text
   * @return the SHA-256 digest in hexadecimal
   */
  public static String digest(final String text) {
    return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
  }

  /**
   * Processes an event.
   *
   * @param event the event
   * @return the actions to carry out, empty if there are none
   */
  public List<ConfigAction> on(final ConfigEvent event) {
    return switch (event) {
      case ConfigEvent.HeadRead read -> headRead(read.head());
      case ConfigEvent.NumberSeen seen -> numberSeen(seen);
      case ConfigEvent.TextArrived arrived -> textArrived(arrived);
      case ConfigEvent.FetchFailed failed -> {
        fetching = false;
        yield List.of();
      }
    };
  }

  private List<ConfigAction> headRead(final ConfigHead head) {
    if (inForce != null && head.number() < inForce.number().value()) {
      return List.of(new ConfigAction.WriteBack(inForce));
    }
    if (isReplacement(head)) {
      replacementDigest = head.digest();
    } else if (!new ConfigNumber(head.number()).isNewerThan(number())) {
      return List.of();
    }
    fetching = true;
    return List.of(new ConfigAction.FetchFromPlatform(head));
  }

  /**
   * Returns whether the head names another text under the number in force. A store that was
   * restored from an older copy has then given the number out again; the later acceptance is valid.
   */
  private boolean isReplacement(final ConfigHead head) {
    return inForce != null
        && head.number() == inForce.number().value()
        && !head.digest().equals(inForce.digest());
  }

  private List<ConfigAction> numberSeen(final ConfigEvent.NumberSeen seen) {
    if (fetching || !seen.number().isNewerThan(number())) {
      return List.of();
    }
    fetching = true;
    return List.of(new ConfigAction.FetchFromPeer(seen.peer()));
  }

  private List<ConfigAction> textArrived(final ConfigEvent.TextArrived arrived) {
    fetching = false;
    final boolean replaces =
        arrived.number().equals(number()) && arrived.digest().equals(replacementDigest);
    if (!replaces && !arrived.number().isNewerThan(number())) {
      return List.of();
    }
    if (!digest(arrived.text()).equals(arrived.digest())) {
      return List.of(
          new ConfigAction.ReportInvalidConfig(
              "the text of configuration " + arrived.number() + " does not match its digest"));
    }
    try {
      inForce =
          new AcceptedConfig(
              arrived.number(),
              arrived.digest(),
              arrived.text(),
              DeclarationLoader.load("configuration " + arrived.number(), arrived.text()));
    } catch (InvalidInputException e) {
      return List.of(
          new ConfigAction.ReportInvalidConfig(
              "configuration " + arrived.number() + " can't be used: " + e.getMessage()));
    }
    return List.of(new ConfigAction.Adopt(inForce));
  }
}
