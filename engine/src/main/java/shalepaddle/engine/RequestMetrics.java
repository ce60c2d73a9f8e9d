package shalepaddle.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Counters of requests and attempts since the start. At any time received = succeeded + rejected +
 * failed + disconnected + {@link #outstanding}.
 *
 * <p>A service class that is removed from the settings keeps its counters, and continues with them
 * if it returns. Classes past {@value #MAX_CLASSES} share the counters of one without a name, so
 * that settings with ever new classes do not fill the memory.
 *
 * <p>Owned by the event loop's thread.
 */
public final class RequestMetrics {
  private static final int MAX_CLASSES = 256;
  private static final String OTHER_CLASSES = "";

  private static final class Counts {
    private long succeeded;
    private long rejected;
    private long failed;
  }

  private final Map<String, Counts> classes = new LinkedHashMap<>();
  private long received;
  private long disconnected;
  private long answered;
  private long forwards;

  /** Registers service classes, which are reported from now on, with zeros at first. */
  public void registerServices(List<String> services) {
    services.forEach(this::countsOf);
  }

  private Counts countsOf(String service) {
    Counts known = classes.get(service);
    if (known == null) {
      String name = classes.size() < MAX_CLASSES ? service : OTHER_CLASSES;
      known = classes.computeIfAbsent(name, any -> new Counts());
    }
    return known;
  }

  /** A complete request was read from its connection. */
  void requestReceived() {
    received++;
  }

  /** A request that was received has its final answer. */
  void answered(String service, Reply reply) {
    answered++;
    Counts counts = countsOf(service);
    if (reply instanceof Reply.Rejected) {
      counts.rejected++;
    } else if (reply instanceof Reply.Failed) {
      counts.failed++;
    } else {
      counts.succeeded++;
    }
  }

  /** The last byte of a streamed answer has come. */
  void streamed(String service) {
    answered++;
    countsOf(service).succeeded++;
  }

  /** A request was rejected before it was parsed: received and answered at once. */
  public void rejectedBeforeParsing(String service) {
    received++;
    answered++;
    countsOf(service).rejected++;
  }

  /** The client of a request that was received has left before its answer. */
  void clientDisconnected() {
    disconnected++;
  }

  /** An attempt's last byte was handed to the socket. */
  void forwarded() {
    forwards++;
  }

  /** Requests received and not ended. */
  public long outstanding() {
    return received - answered - disconnected;
  }

  /** All counters as they are now. */
  public RequestMetricsSnapshot snapshot() {
    List<RequestMetricsSnapshot.Results> results = new ArrayList<>(classes.size());
    classes.forEach(
        (name, counts) ->
            results.add(
                new RequestMetricsSnapshot.Results(
                    name, counts.succeeded, counts.rejected, counts.failed)));
    return new RequestMetricsSnapshot(
        received, disconnected, outstanding(), forwards, List.copyOf(results));
  }
}
