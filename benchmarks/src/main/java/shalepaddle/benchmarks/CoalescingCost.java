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

/** Measures the time that request coalescing takes per read, with 64 reads in flight. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(2)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class CoalescingCost {
  private static final int KEY_COUNT = 5000;
  private static final int READS_IN_FLIGHT = 64;
  private static final long DEADLINE_NANOS = 2_000_000_000L;

  private final String[] keys = new String[KEY_COUNT];
  private final RequestCoalescer<Integer> coalescer =
      new RequestCoalescer<>(CoalescingConfig.DEFAULTS);

  @SuppressWarnings({"unchecked", "rawtypes"})
  private final FlightWaiter<Integer>[] readsInFlight = new FlightWaiter[READS_IN_FLIGHT];

  private int nextReadNumber;
  private long nowNanos;

  /** Creates the keys, and starts the reads in flight. */
  public CoalescingCost() {
    for (int i = 0; i < KEY_COUNT; i++) {
      keys[i] = "key" + i;
    }
    for (int i = 0; i < READS_IN_FLIGHT; i++) {
      readsInFlight[i] = joinNextRead();
    }
  }

  private FlightWaiter<Integer> joinNextRead() {
    nowNanos += 30_000;
    // Creates a new string, since the key of a newly parsed request has no cached hash code.
    String key = new String(keys[nextReadNumber++ % KEY_COUNT]);
    return coalescer.join(key, "read", null, nextReadNumber, nowNanos + DEADLINE_NANOS, nowNanos);
  }

  /** Completes one read and starts another; no read waits for the answer of another read. */
  @Benchmark
  public FlightDecision<Integer> neverJoined() {
    int index = nextReadNumber % READS_IN_FLIGHT;
    FlightDecision<Integer> decision =
        coalescer.complete(readsInFlight[index].flight(), FlightResult.SERVED, nowNanos);
    readsInFlight[index] = joinNextRead();
    return decision;
  }
}
