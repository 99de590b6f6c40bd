package org.bulrushweir.engine;

import okhttp3.Call;
import okhttp3.EventListener;

/**
 * Records whether any byte of a call may have been sent. A call without sent bytes is known not to
 * have run.
 */
final class SentFlag {

  /** True once the client starts to write the call's headers. */
  private volatile boolean sent;

  boolean isSent() {
    return sent;
  }

  /** Sets the flag of a call before its headers are written. */
  static final class Listener extends EventListener {

    @Override
    public void requestHeadersStart(final Call call) {
      final SentFlag flag = call.request().tag(SentFlag.class);
      if (flag != null) {
        flag.sent = true;
      }
    }
  }
}
