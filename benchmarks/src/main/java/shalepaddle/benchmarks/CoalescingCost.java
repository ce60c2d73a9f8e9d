package shalepaddle.benchmarks;

import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import shalepaddle.coalescing.CoalescingConfig;
import shalepaddle.coalescing.FlightDecision;
import shalepaddle.coalescing.FlightResult;
import shalepaddle.coalescing.FlightWaiter;
import shalepaddle.coalescing.RequestCoalescer;

/** What the decisions on joining take of a read, with 64 reads of other keys open beside it. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(2)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class CoalescingCost {
  private static final int KEYS = 5000;
  private static final int OPEN = 64;
  private static final long PATIENCE = 2_000_000_000L;

  private final String[] keys = new String[KEYS];
  private final RequestCoalescer<Integer> joining =
      new RequestCoalescer<>(CoalescingConfig.DEFAULTS);

  @SuppressWarnings({"unchecked", "rawtypes"})
  private final FlightWaiter<Integer>[] open = new FlightWaiter[OPEN];

  private int next;
  private long now;

  /** Keys as they come off a connection: each request has words of its own. */
  public CoalescingCost() {
    for (int i = 0; i < KEYS; i++) {
      keys[i] = "key" + i;
    }
    for (int i = 0; i < OPEN; i++) {
      open[i] = arrive();
    }
  }

  private FlightWaiter<Integer> arrive() {
    now += 30_000;
    // A new string has no hash yet, as one that was just read.
    String key = new String(keys[next++ % KEYS]);
    return joining.join(key, "read", null, next, now + PATIENCE, now);
  }

  /** A read that nobody joins: it arrives, and is answered later. */
  @Benchmark
  public FlightDecision<Integer> neverJoined() {
    int place = next % OPEN;
    FlightDecision<Integer> verdict =
        joining.complete(open[place].flight(), FlightResult.SERVED, now);
    open[place] = arrive();
    return verdict;
  }
}
