package org.bulrushweir.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import org.bulrushweir.api.AttemptKey;
import org.bulrushweir.api.Clock;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.Incarnation;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.api.RequestId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.delivery.AnswerPart;
import org.bulrushweir.delivery.AnswerSummary;
import org.bulrushweir.delivery.AttemptEnd;
import org.bulrushweir.delivery.RequestEvent;
import org.bulrushweir.kernel.SystemClock;
import org.bulrushweir.membership.EndpointInfo;
import org.bulrushweir.node.ConfigService;
import org.bulrushweir.node.FleetService;
import org.bulrushweir.node.PeerService;
import org.bulrushweir.platform.HttpPlatformStore;
import org.bulrushweir.settings.LogFormat;
import org.bulrushweir.settings.LogLevel;
import org.bulrushweir.settings.ProcessSettings;
import org.bulrushweir.settings.SocketAddressSettings;
import org.bulrushweir.store.PlatformStore;
import org.bulrushweir.timeline.EventLog;
import org.bulrushweir.timeline.HybridClock;
import org.bulrushweir.wire.EnvelopeStamp;
import org.bulrushweir.wire.PeerChannel;
import org.bulrushweir.wire.PeerIdentity;
import org.bulrushweir.wire.PeerListener;
import org.bulrushweir.wire.PeerTransport;
import org.bulrushweir.wire.generated.Dispatch;
import org.bulrushweir.wire.generated.End;
import org.bulrushweir.wire.generated.Envelope;
import org.bulrushweir.wire.generated.Frame;
import org.bulrushweir.wire.generated.Refusal;
import org.bulrushweir.wire.generated.RunState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the link before a sidecar that sends all earlier messages again. */
class EndpointLinkTest {

  private static final String HOST = "127.0.0.1";
  private static final ZoneName ZONE = new ZoneName("zone-1");
  private static final ServiceName SERVICE = new ServiceName("assistant");
  private static final EndpointId ENDPOINT = new EndpointId("e1");
  private static final long WAIT_MS = 5_000;
  private static final long QUIET_MS = 100;
  private static final int REQUESTS = 4;
  private static final int CONNECT_ATTEMPTS = 5;

  private final Clock clock = new SystemClock();
  private final OkHttpClient client = new OkHttpClient();
  private final PlatformStore store =
      new HttpPlatformStore(client, HttpUrl.get("http://" + HOST + ":1"), 1);
  private final FleetService fleet = new FleetService(store, clock, new SplittableRandom(1), 1_000);
  private final EventLog events = new EventLog(new NodeId("r1"), new HybridClock(clock));
  private final PeerService peers =
      new PeerService(
          settings(), identity("r1"), new ConfigService(store, new SplittableRandom(1), 1), events);
  private final PeerTransport sidecar =
      new PeerTransport(identity("e1"), new EnvelopeStamp(() -> 0, new HybridClock(clock)));
  private final EndpointLink link = new EndpointLink(ENDPOINT, peers, clock, fleet, events);

  private static PeerIdentity identity(final String node) {
    return new PeerIdentity(new NodeId(node), new Incarnation(1), ZONE);
  }

  private static ProcessSettings settings() {
    final SocketAddressSettings anyPort = new SocketAddressSettings(HOST, 0);
    return new ProcessSettings(
        new NodeId("r1"),
        ZONE,
        anyPort,
        anyPort,
        HttpUrl.get("http://" + HOST + ":1"),
        1,
        1_000,
        1_000,
        List.of(),
        LogFormat.values()[0],
        LogLevel.values()[0],
        SERVICE,
        null);
  }

  @AfterEach
  void close() {
    peers.stop();
    sidecar.close();
    fleet.stop();
    client.dispatcher().executorService().shutdown();
  }

  /** Refuses each second request, answers the others, and sends all it has sent once more. */
  private static final class StutteringSidecar implements PeerListener {

    private final List<Envelope> sent = new ArrayList<>();

    @Override
    public synchronized void received(final PeerChannel channel, final Envelope envelope) {
      if (!envelope.hasDispatch()) {
        return;
      }
      final Dispatch dispatch = envelope.getDispatch();
      sent.forEach(earlier -> channel.send(earlier.toBuilder()));
      for (final Envelope.Builder message :
          dispatch.getRequest() % 2 == 0 ? refusal(dispatch) : answer(dispatch)) {
        sent.add(message.build());
        channel.send(message);
      }
      sent.forEach(earlier -> channel.send(earlier.toBuilder()));
    }

    private static List<Envelope.Builder> refusal(final Dispatch dispatch) {
      return List.of(
          Envelope.newBuilder()
              .setRefusal(
                  Refusal.newBuilder()
                      .setRequest(dispatch.getRequest())
                      .setAttempt(dispatch.getAttempt())
                      .setDetail(text(dispatch))));
    }

    private static List<Envelope.Builder> answer(final Dispatch dispatch) {
      return List.of(
          Envelope.newBuilder()
              .setFrame(
                  Frame.newBuilder()
                      .setRequest(dispatch.getRequest())
                      .setAttempt(dispatch.getAttempt())
                      .setPayload(ByteString.copyFromUtf8(text(dispatch)))),
          Envelope.newBuilder()
              .setEnd(
                  End.newBuilder()
                      .setRequest(dispatch.getRequest())
                      .setAttempt(dispatch.getAttempt())
                      .setState(RunState.RAN)
                      .setFinishReason(text(dispatch))));
    }

    private static String text(final Dispatch dispatch) {
      return dispatch.getRequest() + "/" + dispatch.getAttempt();
    }

    @Override
    public void closed(final PeerChannel channel) {
      // The link has closed the connection.
    }
  }

  /** Opens connections until one is established in time, which the first may not be. */
  private void awaitReachable(final int port) {
    for (int attempt = 1; attempt <= CONNECT_ATTEMPTS; attempt++) {
      try {
        peers.connect(HOST, port, new StutteringSidecar()).join().close();
        return;
      } catch (CompletionException e) {
        assertTrue(attempt < CONNECT_ATTEMPTS, e.toString());
      }
    }
  }

  private static String text(final RequestEvent event) {
    return switch (event) {
      case RequestEvent.Refused refused -> refused.detail();
      case RequestEvent.PartArrived(int attempt, int sequence, AnswerPart part) ->
          part.payload().toStringUtf8();
      case RequestEvent.Ended(int attempt, AttemptEnd.Ran(int frames, AnswerSummary summary)) ->
          summary.finishReason();
      default -> event.toString();
    };
  }

  /** Guards against messages on an earlier request or attempt that count for the next one. */
  @Test
  void repeatedMessagesReachOnlyTheAttemptThatTheyName() throws InterruptedException {
    final int port = sidecar.listen(HOST, 0, new StutteringSidecar());
    awaitReachable(port);
    final EndpointInfo target = new EndpointInfo(ENDPOINT, HOST, port, ZONE, SERVICE);
    for (int request = 1; request <= REQUESTS; request++) {
      for (int attempt = 0; attempt < 2; attempt++) {
        final AttemptKey key = new AttemptKey(new RequestId(request), attempt);
        final BlockingQueue<RequestEvent> queue = new LinkedBlockingQueue<>();
        link.dispatch(
            target, key, Dispatch.newBuilder().setRequest(request).setAttempt(attempt), queue);
        final int messages = request % 2 == 0 ? 2 : 4;
        for (int message = 0; message < messages; message++) {
          assertEquals(request + "/" + attempt, text(queue.poll(WAIT_MS, TimeUnit.MILLISECONDS)));
        }
        assertNull(queue.poll(QUIET_MS, TimeUnit.MILLISECONDS));
        link.unregister(key);
      }
    }
  }
}
