/** Starts the threads of the stand-ins; they end with the process. */
final class Threads {

  private static final long STACK_BYTES = 256 * 1024;

  private Threads() {}

  static Thread start(final String name, final Runnable task) {
    final Thread thread = new Thread(null, task, name, STACK_BYTES);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
