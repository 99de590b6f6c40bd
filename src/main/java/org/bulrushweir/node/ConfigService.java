package org.bulrushweir.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.bulrushweir.api.ConfigNumber;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.configuration.AcceptedConfig;
import org.bulrushweir.configuration.ConfigAction;
import org.bulrushweir.configuration.ConfigEvent;
import org.bulrushweir.configuration.ConfigHead;
import org.bulrushweir.configuration.ConfigMachine;
import org.bulrushweir.kernel.KernelService;
import org.bulrushweir.store.CommitResult;
import org.bulrushweir.store.Condition;
import org.bulrushweir.store.PlatformStore;
import org.bulrushweir.store.Row;
import org.bulrushweir.store.Transaction;
import org.bulrushweir.store.Write;
import org.bulrushweir.wire.PeerChannel;
import org.bulrushweir.wire.generated.ConfigText;
import org.bulrushweir.wire.generated.Envelope;

/** Keeps the newest accepted configuration in force in this process. */
public final class ConfigService implements KernelService {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** How long a peer may take to send a text, in milliseconds. */
  private static final long FETCH_TIMEOUT_MS = 500;

  /** How often the head is read while no configuration is known, in milliseconds. */
  private static final long FIRST_POLL_MS = 250;

  private final ConfigMachine machine = new ConfigMachine();
  private final Map<NodeId, ConfigSource> sources = new HashMap<>();
  private final List<Consumer<AcceptedConfig>> listeners = new CopyOnWriteArrayList<>();
  private final ObjectMapper mapper = new ObjectMapper();
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(
          Thread.ofPlatform().name("configuration").daemon().factory());
  private final PlatformStore store;
  private final RandomGenerator random;
  private final long pollIntervalMs;
  private Row headRow = Row.absent(ConfigHead.ROW_KEY);
  private volatile AcceptedConfig inForce;

  /**
   * Creates the service.
   *
   * @param store the platform's store
   * @param random spreads the reads of all processes over time
   * @param pollIntervalMs how often the head is read at the least, in milliseconds
   */
  public ConfigService(
      final PlatformStore store, final RandomGenerator random, final long pollIntervalMs) {
    this.store = store;
    this.random = random;
    this.pollIntervalMs = pollIntervalMs;
  }

  @Override
  public void start() {
    executor.execute(this::pollRepeatedly);
  }

  @Override
  public void stop() {
    executor.shutdownNow();
  }

  /**
   * Returns the configuration in force.
   *
   * @return the configuration, empty before the first one is known
   */
  public Optional<AcceptedConfig> inForce() {
    return Optional.ofNullable(inForce);
  }

  /**
   * Returns the number in force, which rides on every message.
   *
   * @return the number, zero before the first configuration is known
   */
  public long number() {
    final AcceptedConfig current = inForce;
    return current == null ? 0 : current.number().value();
  }

  /**
   * Adds a listener that hears of every configuration put in force, including the present one.
   *
   * @param listener the listener
   */
  public void addListener(final Consumer<AcceptedConfig> listener) {
    listeners.add(listener);
    inForce().ifPresent(listener);
  }

  /**
   * Takes note of the number that a peer's message carried.
   *
   * @param source the peer
   * @param number the number
   */
  public void numberSeen(final ConfigSource source, final long number) {
    if (number <= number()) {
      return;
    }
    executor.execute(
        () -> {
          sources.put(source.node(), source);
          handle(new ConfigEvent.NumberSeen(new ConfigNumber(number), source.node()));
        });
  }

  /**
   * Takes a text that a peer has sent.
   *
   * @param message the peer's message
   */
  public void textArrived(final ConfigText message) {
    executor.execute(
        () ->
            handle(
                new ConfigEvent.TextArrived(
                    new ConfigNumber(message.getNumber()),
                    message.getDigest(),
                    message.getText())));
  }

  /**
   * Sends the configuration in force to a peer that has asked for it.
   *
   * @param channel the connection with the peer
   */
  public void sendText(final PeerChannel channel) {
    final AcceptedConfig config = inForce;
    if (config == null) {
      return;
    }
    channel.send(
        Envelope.newBuilder()
            .setConfigText(
                ConfigText.newBuilder()
                    .setNumber(config.number().value())
                    .setDigest(config.digest())
                    .setText(config.text())));
  }

  /** Reads the head often while no configuration is known, then seldom and at random times. */
  private void pollRepeatedly() {
    pollHead();
    final long delayMs =
        inForce == null ? FIRST_POLL_MS : random.nextLong(pollIntervalMs / 2, pollIntervalMs + 1);
    executor.schedule(this::pollRepeatedly, delayMs, TimeUnit.MILLISECONDS);
  }

  private void pollHead() {
    try {
      headRow = store.read(ConfigHead.ROW_KEY).join();
      final ConfigHead head =
          headRow.exists()
              ? mapper.readValue(headRow.value(), ConfigHead.class)
              : new ConfigHead(0, "", "");
      handle(new ConfigEvent.HeadRead(head));
    } catch (RuntimeException e) {
      logger.atFine().log("the head of the configuration can't be read: %s", e.getMessage());
    } catch (JsonProcessingException e) {
      logger.atSevere().withCause(e).log("the head of the configuration is malformed");
    }
  }

  private void handle(final ConfigEvent event) {
    final List<ConfigAction> actions = new ArrayList<>(machine.on(event));
    for (final ConfigAction action : actions) {
      switch (action) {
        case ConfigAction.FetchFromPlatform fetch -> fetchFromPlatform(fetch.head());
        case ConfigAction.FetchFromPeer fetch -> fetchFromPeer(fetch.peer());
        case ConfigAction.Adopt adopt -> adopt(adopt.config());
        case ConfigAction.WriteBack writeBack -> writeBack(writeBack.config());
        case ConfigAction.ReportInvalidConfig complaint ->
            logger.atSevere().log("%s", complaint.message());
      }
    }
  }

  private void fetchFromPlatform(final ConfigHead head) {
    try {
      final Optional<String> text = store.object(head.objectKey()).join();
      if (text.isPresent()) {
        handle(
            new ConfigEvent.TextArrived(
                new ConfigNumber(head.number()), head.digest(), text.get()));
        return;
      }
      logger.atSevere().log("the text of configuration %d is missing", head.number());
    } catch (RuntimeException e) {
      logger.atWarning().log(
          "the text of configuration %d can't be read: %s", head.number(), e.getMessage());
    }
    handle(new ConfigEvent.FetchFailed());
  }

  /** Writes a configuration back if the head row is still as it was read; others may be first. */
  private void writeBack(final AcceptedConfig config) {
    final long number = config.number().value();
    final ConfigHead head = new ConfigHead(number, config.digest(), UUID.randomUUID().toString());
    try {
      final String json = mapper.writeValueAsString(head);
      store.putObject(head.objectKey(), config.text()).join();
      final Transaction transaction =
          new Transaction(
              List.of(new Condition(ConfigHead.ROW_KEY, headRow.version())),
              List.of(
                  new Write(ConfigHead.ROW_KEY, json),
                  new Write(ConfigHead.numberKey(number), json)));
      switch (store.commit(transaction).join()) {
        case CommitResult.Committed committed ->
            logger.atWarning().log(
                "the store held a configuration older than %d and was restored from an older copy;"
                    + " wrote configuration %d back",
                number, number);
        case CommitResult.Conflict conflict ->
            logger.atInfo().log(
                "the head of the configuration changed before configuration %d was written back",
                number);
      }
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a head row can't be written", e);
    } catch (CompletionException e) {
      logger.atWarning().log(
          "configuration %d can't be written back: %s", number, e.getCause().getMessage());
    }
  }

  private void fetchFromPeer(final NodeId peer) {
    sources.get(peer).requestText();
    executor.schedule(
        () -> handle(new ConfigEvent.FetchFailed()), FETCH_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  private void adopt(final AcceptedConfig config) {
    inForce = config;
    sources.clear();
    logger.atInfo().log("configuration %s is in force", config.number());
    listeners.forEach(listener -> listener.accept(config));
  }
}
