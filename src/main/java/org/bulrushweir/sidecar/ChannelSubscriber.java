package org.bulrushweir.sidecar;

import com.google.protobuf.ByteString;
import java.util.function.Supplier;
import org.bulrushweir.api.AttemptKey;
import org.bulrushweir.delivery.AnswerPart;
import org.bulrushweir.delivery.AnswerSubscriber;
import org.bulrushweir.delivery.AnswerSummary;
import org.bulrushweir.delivery.AttemptEnd;
import org.bulrushweir.wire.PeerChannel;
import org.bulrushweir.wire.generated.End;
import org.bulrushweir.wire.generated.Envelope;
import org.bulrushweir.wire.generated.Frame;
import org.bulrushweir.wire.generated.Report;
import org.bulrushweir.wire.generated.RunState;

/**
 * Sends the parts and the end of an answer over a connection to a router.
 *
 * @param key the attempt
 * @param channel the connection to the router
 * @param report supplies the endpoint's report that is sent with the end of the answer
 */
record ChannelSubscriber(AttemptKey key, PeerChannel channel, Supplier<Report> report)
    implements AnswerSubscriber {

  @Override
  public void onPart(final int sequence, final AnswerPart part) {
    final ByteString payload = part.payload();
    channel.send(
        Envelope.newBuilder()
            .setFrame(
                Frame.newBuilder()
                    .setRequest(key.request().value())
                    .setAttempt(key.attempt())
                    .setSequence(sequence)
                    .setPayload(payload)
                    .setTokens(part.tokens())));
  }

  @Override
  public void onEnd(final AttemptEnd end) {
    final End.Builder message =
        End.newBuilder()
            .setRequest(key.request().value())
            .setAttempt(key.attempt())
            .setReport(report.get());
    switch (end) {
      case AttemptEnd.Ran ran -> addSummary(message.setFrames(ran.parts()), ran.summary());
      case AttemptEnd.Broken broken ->
          message.setFrames(broken.parts()).setState(RunState.BROKEN).setDetail(broken.detail());
      case AttemptEnd.Unknown unknown ->
          message.setState(RunState.UNKNOWN).setDetail(unknown.detail());
    }
    channel.send(Envelope.newBuilder().setEnd(message));
  }

  private static void addSummary(final End.Builder message, final AnswerSummary summary) {
    message
        .setState(RunState.RAN)
        .setHttpStatus(summary.httpStatus())
        .setContentType(summary.contentType())
        .setPromptTokens(summary.promptTokens())
        .setCachedTokens(summary.cachedTokens())
        .setOutputTokens(summary.outputTokens())
        .setFinishReason(summary.finishReason())
        .setReplayed(summary.replayed());
  }
}
