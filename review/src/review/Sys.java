package review;

/** Threads and waits. */
final class Sys {
  interface Body {
    void run() throws Exception;
  }

  private Sys() {}

  static Thread daemon(String name, Body body) {
    Thread thread =
        new Thread(
            () -> {
              try {
                body.run();
              } catch (Exception e) {
                Rec.line("thread %s: %s", name, e);
              }
            },
            name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static void sleep(double seconds) {
    try {
      Thread.sleep(Math.max(0, (long) (seconds * 1000)));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Sleeps until this second of the record. */
  static void sleepUntil(double second) {
    sleep(second - Rec.now());
  }
}
