package shalepaddle.loop;

import io.netty.util.concurrent.Ticker;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/**
 * Logs what an event loop was doing in a long stall: samples of its stack, and what its thread and
 * the machine have used. Observes the loop from a thread of its own, which runs from the loop's
 * first turn until the loop's thread has ended.
 *
 * <p>The stacks come from this thread's own turns: if it could not run either, there are none.
 */
public final class StallReporter {
  /** The time between two looks at the loop. */
  private static final long INTERVAL_NANOS = 100_000_000L;

  /** The time until the first look. */
  private static final long FIRST_SAMPLE_NANOS = 2_000_000_000L;

  /** Samples of one stall; a longer one is described by its beginning. */
  private static final int MAX_SAMPLES = 32;

  private static final int MAX_STACKS = 4;
  private static final int MAX_FRAMES = 12;

  private final Ticker ticker;
  private final Log log;
  private final AtomicLong endedStallNanos = new AtomicLong();
  private final Map<String, Integer> stacks = new LinkedHashMap<>();
  private volatile Thread loopThread;
  private volatile long turnEndedAtNanos;
  private Thread thread;
  private int samples;

  /** Creates a reporter for the loop that calls it. */
  public StallReporter(Ticker ticker, Log log) {
    this.ticker = ticker;
    this.log = log;
  }

  /** Called on the event loop at the end of each turn. */
  public void turnEnded(long nowNanos) {
    turnEndedAtNanos = nowNanos;
    if (thread == null) {
      start();
    }
  }

  /** Called on the event loop when a stall has ended that is to be described in the log. */
  public void stallEnded(long stallNanos) {
    endedStallNanos.set(stallNanos);
    LockSupport.unpark(thread);
  }

  private void start() {
    loopThread = Thread.currentThread();
    // Opened on the loop's thread, whose usage it describes from then on.
    ThreadUsage usage = ThreadUsage.ofCurrentThread();
    thread = new Thread(() -> observe(usage), "stall-reporter");
    thread.setDaemon(true);
    thread.start();
  }

  private void observe(ThreadUsage usage) {
    // The first sample loads classes, which would delay the start of the process.
    LockSupport.parkNanos(this, FIRST_SAMPLE_NANOS);
    while (loopThread.isAlive()) {
      LockSupport.parkNanos(this, INTERVAL_NANOS);
      long stallNanos = endedStallNanos.getAndSet(0);
      if (stallNanos > 0) {
        log.writeRareLine(describe(stallNanos, usage));
      }
      if (stallNanos == 0 && ticker.nanoTime() - turnEndedAtNanos > INTERVAL_NANOS) {
        sampleStack();
      } else {
        stacks.clear();
        samples = 0;
        usage.sample();
      }
    }
    usage.close();
  }

  private void sampleStack() {
    if (samples == MAX_SAMPLES) {
      return;
    }
    samples++;
    String stack = describe(loopThread.getStackTrace());
    if (stacks.containsKey(stack) || stacks.size() < MAX_STACKS) {
      stacks.merge(stack, 1, Integer::sum);
    }
  }

  private static String describe(StackTraceElement[] frames) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < Math.min(frames.length, MAX_FRAMES); i++) {
      String className = frames[i].getClassName();
      text.append(i == 0 ? "" : "<")
          .append(className, className.lastIndexOf('.') + 1, className.length())
          .append('.')
          .append(frames[i].getMethodName())
          .append(':')
          .append(frames[i].getLineNumber());
    }
    return text.toString();
  }

  private String describe(long stallNanos, ThreadUsage usage) {
    StringBuilder text = new StringBuilder("event=loop_stall stalled_ms=");
    text.append(TimeUnit.NANOSECONDS.toMillis(stallNanos))
        .append(usage.describeSinceSample())
        .append(" stack_samples=")
        .append(samples);
    stacks.forEach(
        (stack, count) -> text.append(' ').append(count).append("x[").append(stack).append(']'));
    return text.toString();
  }
}
