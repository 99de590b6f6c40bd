package org.bulrushweir.engine;

import java.io.IOException;
import okhttp3.Call;
import okhttp3.EventListener;

/**
 * Records how much of a call's request was sent. A call without sent bytes is known not to have
 * run.
 */
final class RequestProgress {

  /** True once the client starts to write the call's headers. */
  private volatile boolean started;

  /** True if the client could not write the whole request. */
  private volatile boolean cutOff;

  boolean isStarted() {
    return started;
  }

  boolean isCutOff() {
    return cutOff;
  }

  /** Records the progress of calls that have one as a tag. */
  static final class Listener extends EventListener {

    @Override
    public void requestHeadersStart(final Call call) {
      final RequestProgress progress = call.request().tag(RequestProgress.class);
      if (progress != null) {
        progress.started = true;
      }
    }

    @Override
    public void requestFailed(final Call call, final IOException failure) {
      final RequestProgress progress = call.request().tag(RequestProgress.class);
      if (progress != null) {
        progress.cutOff = true;
      }
    }
  }
}
