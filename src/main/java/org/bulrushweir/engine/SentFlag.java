package org.bulrushweir.engine;

import okhttp3.Call;
import okhttp3.EventListener;

/** Remembers whether any byte of a call may have been sent, so that "not run" can be proven. */
final class SentFlag {

  /** Whether the call's headers were about to be written. */
  private volatile boolean sent;

  boolean isSent() {
    return sent;
  }

  /** Sets the flags of calls. */
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
