package org.bulrushweir.sidecar;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.bulrushweir.api.Clock;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ModelName;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.configuration.AcceptedConfig;
import org.bulrushweir.declaration.EndpointKind;
import org.bulrushweir.declaration.FencingPolicy;
import org.bulrushweir.declaration.ServiceDeclaration;
import org.bulrushweir.declaration.WeightStoreDeclaration;
import org.bulrushweir.engine.EngineClient;
import org.bulrushweir.engine.EngineProtocol;
import org.bulrushweir.engine.OrderResult;
import org.bulrushweir.kernel.KernelService;
import org.bulrushweir.kernel.PeriodicTask;
import org.bulrushweir.node.ConfigService;
import org.bulrushweir.node.FleetService;
import org.bulrushweir.placement.FenceRow;
import org.bulrushweir.placement.LoadedModel;
import org.bulrushweir.placement.ModelPlacement;
import org.bulrushweir.placement.OrderAction;
import org.bulrushweir.placement.OrderEvent;
import org.bulrushweir.placement.OrderMachine;
import org.bulrushweir.placement.PermitBucket;
import org.bulrushweir.store.CommitResult;
import org.bulrushweir.store.PlatformStore;
import org.bulrushweir.store.Row;
import org.bulrushweir.store.Transaction;
import org.bulrushweir.timeline.EventKind;
import org.bulrushweir.timeline.EventLog;
import org.bulrushweir.timeline.EventSubject;
import org.bulrushweir.wire.PeerIdentity;

/**
 * Orders the sidecar's engine to load the models that are assigned to it and to unload the others.
 */
public final class OrderService implements KernelService {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Interval of the ticks of the state machine, in milliseconds. */
  private static final long TICK_MS = 250;

  /** Converts rows from and to JSON. */
  private final ObjectMapper mapper = new ObjectMapper();

  /** Runs the state machine. */
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(
          Thread.ofPlatform().name("orders").daemon().factory());

  /** State machine that decides on the orders. */
  private final OrderMachine machine = new OrderMachine(FencingPolicy.CHECKED);

  /** The identity of this process. */
  private final PeerIdentity self;

  /** The endpoint id of the engine. */
  private final EndpointId endpoint;

  /** The service that the engine belongs to. */
  private final ServiceName serviceName;

  private final Clock clock;

  /** The client of the engine. */
  private final EngineClient engine;

  /** The platform's store, which holds the rows of fencing tokens and permits. */
  private final PlatformStore store;

  /** This process's view of the fleet. */
  private final FleetService fleet;

  /** Supplies the configuration in force. */
  private final ConfigService configuration;

  /** The event log of this process. */
  private final EventLog events;

  /** The models that the engine had loaded when its state was last fetched. */
  private volatile List<LoadedModel> loadedModels = List.of();

  /**
   * Creates the service.
   *
   * @param self the identity of this process
   * @param serviceName the service that the engine belongs to
   * @param clock the clock
   * @param engine the client of the engine
   * @param store the platform's store
   * @param fleet this process's view of the fleet
   * @param configuration supplies the configuration in force
   * @param events the event log of this process
   */
  public OrderService(
      final PeerIdentity self,
      final ServiceName serviceName,
      final Clock clock,
      final EngineClient engine,
      final PlatformStore store,
      final FleetService fleet,
      final ConfigService configuration,
      final EventLog events) {
    this.self = self;
    this.endpoint = new EndpointId(self.node().value());
    this.serviceName = serviceName;
    this.clock = clock;
    this.engine = engine;
    this.store = store;
    this.fleet = fleet;
    this.configuration = configuration;
    this.events = events;
  }

  @Override
  public void start() {
    executor.scheduleWithFixedDelay(
        new PeriodicTask("engine orders", this::tick), TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void stop() {
    executor.shutdownNow();
  }

  /**
   * Returns the models that the engine had loaded when its state was last fetched.
   *
   * @return the models, empty before the first successful fetch
   */
  public List<LoadedModel> loadedModels() {
    return loadedModels;
  }

  private void tick() {
    final Optional<ServiceDeclaration> service = engineService();
    if (service.isEmpty()) {
      return;
    }
    try {
      machine.setPlan(plan(service.get()), service.get().fencing());
      Optional<OrderAction> action = machine.on(new OrderEvent.Tick(), clock.nowMs());
      while (action.isPresent()) {
        action = machine.on(execute(action.get()), clock.nowMs());
      }
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("sending orders to the engine failed");
    }
  }

  private Optional<ServiceDeclaration> engineService() {
    return configuration
        .inForce()
        .map(AcceptedConfig::declaration)
        .map(declaration -> declaration.services().get(serviceName))
        .filter(service -> service.kind() == EndpointKind.ENGINE);
  }

  private List<LoadedModel> plan(final ServiceDeclaration service) {
    final List<EndpointId> endpoints = new ArrayList<>(fleet.endpoints(serviceName));
    if (!endpoints.contains(endpoint)) {
      endpoints.add(endpoint);
    }
    return ModelPlacement.modelsOf(endpoint, endpoints, service).stream()
        .map(LoadedModel::of)
        .toList();
  }

  private OrderEvent execute(final OrderAction action) {
    try {
      return switch (action) {
        case OrderAction.ReadEngine read -> readEngine();
        case OrderAction.AcquireFence acquire -> acquireFence();
        case OrderAction.CheckFence check -> checkFence(check.number());
        case OrderAction.RequestPermit request -> requestPermit();
        case OrderAction.GiveOrder give -> giveOrder(give);
      };
    } catch (CompletionException e) {
      logger.atFine().log(
          "action %s of the order state machine failed: %s", action, e.getMessage());
      return new OrderEvent.Failed();
    }
  }

  private OrderEvent readEngine() {
    final Optional<EngineProtocol.EngineState> state = engine.fetchState();
    if (state.isEmpty()) {
      return new OrderEvent.Failed();
    }
    loadedModels =
        state.get().models().stream()
            .map(
                model ->
                    new LoadedModel(
                        new ModelName(model.model()), model.version(), model.adapters()))
            .toList();
    return new OrderEvent.EngineRead(loadedModels);
  }

  private OrderEvent acquireFence() {
    final Row row = store.read(FenceRow.key(endpoint)).join();
    final FenceRow current = row.exists() ? read(row.value(), FenceRow.class) : new FenceRow(0, 0);
    final long incarnation = self.incarnation().value();
    if (current.incarnation() > incarnation) {
      return new OrderEvent.FenceLost();
    }
    if (current.incarnation() == incarnation) {
      return new OrderEvent.FenceHeld(current.token());
    }
    final FenceRow next = new FenceRow(current.token() + 1, incarnation);
    return switch (store.commit(Transaction.replace(row, write(next))).join()) {
      case CommitResult.Committed committed -> new OrderEvent.FenceHeld(next.token());
      case CommitResult.Conflict conflict -> new OrderEvent.Failed();
    };
  }

  private OrderEvent checkFence(final long token) {
    final Row row = store.read(FenceRow.key(endpoint)).join();
    final boolean held =
        row.exists()
            && read(row.value(), FenceRow.class).isHeldBy(token, self.incarnation().value());
    return held ? new OrderEvent.FenceHeld(token) : new OrderEvent.FenceLost();
  }

  private OrderEvent requestPermit() {
    final Optional<WeightStoreDeclaration> limit =
        configuration.inForce().flatMap(config -> config.declaration().weightStore());
    if (limit.isEmpty()) {
      return new OrderEvent.PermitGranted();
    }
    final Row row = store.read(PermitBucket.ROW_KEY).join();
    final PermitBucket bucket =
        row.exists()
            ? read(row.value(), PermitBucket.class)
            : new PermitBucket(limit.get().burst(), row.readAtMs());
    final Optional<PermitBucket> taken =
        bucket.tryAcquire(limit.get().permitsPerMinute(), limit.get().burst(), row.readAtMs());
    if (taken.isEmpty()) {
      return new OrderEvent.PermitDenied();
    }
    return switch (store.commit(Transaction.replace(row, write(taken.get()))).join()) {
      case CommitResult.Committed committed -> new OrderEvent.PermitGranted();
      case CommitResult.Conflict conflict -> new OrderEvent.PermitDenied();
    };
  }

  private OrderEvent giveOrder(final OrderAction.GiveOrder give) {
    final LoadedModel model = give.model();
    final String detail =
        (give.load() ? "load " : "unload ")
            + model.name()
            + " version "
            + model.version()
            + ", fencing number "
            + give.number();
    final OrderResult result =
        engine.sendOrder(
            new EngineProtocol.Order(
                give.number(),
                model.name().value(),
                model.version(),
                model.adapters(),
                give.load()));
    return switch (result) {
      case DONE -> {
        events.add(EventKind.ORDER_GIVEN, EventSubject.of(endpoint), detail);
        yield new OrderEvent.OrderDone();
      }
      case FENCED -> {
        events.add(EventKind.ORDER_REFUSED, EventSubject.of(endpoint), detail);
        yield new OrderEvent.OrderRefused();
      }
      case FAILED -> new OrderEvent.Failed();
    };
  }

  private <T> T read(final String json, final Class<T> type) {
    try {
      return mapper.readValue(json, type);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(
          "malformed JSON in a row of the platform's store: " + json, e);
    }
  }

  private String write(final Object value) {
    try {
      return mapper.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a row can't be converted to JSON", e);
    }
  }
}
