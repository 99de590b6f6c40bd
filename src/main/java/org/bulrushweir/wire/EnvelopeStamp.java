package org.bulrushweir.wire;

import java.util.function.LongSupplier;
import org.bulrushweir.timeline.HybridClock;
import org.bulrushweir.wire.generated.Envelope;

/**
 * Puts on every message what rides on all: the configuration number and, where an event may follow
 * from the message, the time of the hybrid clock.
 *
 * @param configNumber tells the number in force
 * @param clock the hybrid clock
 */
public record EnvelopeStamp(LongSupplier configNumber, HybridClock clock) {

  /**
   * Stamps a message.
   *
   * @param envelope the message
   * @return the stamped message
   */
  Envelope stamp(final Envelope.Builder envelope) {
    envelope.setConfigNumber(configNumber.getAsLong());
    if (carriesTime(envelope.getBodyCase())) {
      envelope.setLogicalTime(clock.next());
    }
    return envelope.build();
  }

  private static boolean carriesTime(final Envelope.BodyCase body) {
    return switch (body) {
      case FRAME, PING, PONG -> false;
      default -> true;
    };
  }

  /**
   * Takes note of the time that a message carries.
   *
   * @param envelope the message
   */
  void observe(final Envelope envelope) {
    if (envelope.getLogicalTime() != 0) {
      clock.observe(envelope.getLogicalTime());
    }
  }
}
