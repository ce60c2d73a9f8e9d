package shalepaddle.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Counters of requests and attempts since the start of the process. At any time received =
 * succeeded + rejected + failed + disconnected + {@link #outstandingRequests}.
 *
 * <p>A service class that is removed from the settings keeps its counters, and continues with them
 * if it is added again. Classes beyond {@value #MAX_CLASSES} share the counters of one class with
 * an empty name, so that settings with ever new classes do not exhaust the memory.
 *
 * <p>Owned by the event loop's thread.
 */
public final class RequestMetrics {
  private static final int MAX_CLASSES = 256;
  private static final String OTHER_CLASSES = "";

  private static final class Counts {
    private long succeededRequests;
    private long rejectedRequests;
    private long failedRequests;
  }

  private final Map<String, Counts> classes = new LinkedHashMap<>();
  private long receivedRequests;
  private long disconnectedRequests;
  private long answeredRequests;
  private long forwardedAttempts;

  /** Registers service classes, so that they are reported before their first request. */
  public void registerServices(List<String> services) {
    services.forEach(this::countsOf);
  }

  private Counts countsOf(String service) {
    Counts knownCounts = classes.get(service);
    if (knownCounts == null) {
      String name = classes.size() < MAX_CLASSES ? service : OTHER_CLASSES;
      knownCounts = classes.computeIfAbsent(name, any -> new Counts());
    }
    return knownCounts;
  }

  /** Counts a request that was received completely. */
  void countReceived() {
    receivedRequests++;
  }

  /** Counts the final answer to a request. */
  void countAnswered(String service, Reply reply) {
    answeredRequests++;
    Counts counts = countsOf(service);
    if (reply instanceof Reply.Rejected) {
      counts.rejectedRequests++;
    } else if (reply instanceof Reply.Failed) {
      counts.failedRequests++;
    } else {
      counts.succeededRequests++;
    }
  }

  /** Counts a streamed answer whose last byte was received. */
  void countStreamed(String service) {
    answeredRequests++;
    countsOf(service).succeededRequests++;
  }

  /** Counts a request that was rejected before it was parsed, as received and as answered. */
  public void countRejectedBeforeParsing(String service) {
    receivedRequests++;
    answeredRequests++;
    countsOf(service).rejectedRequests++;
  }

  /** Counts a request whose client disconnected before the answer. */
  void countDisconnected() {
    disconnectedRequests++;
  }

  /** Counts an attempt whose last byte was handed to the socket. */
  void countForwarded() {
    forwardedAttempts++;
  }

  /** The number of requests that were received and have not ended. */
  public long outstandingRequests() {
    return receivedRequests - answeredRequests - disconnectedRequests;
  }

  /** All counters as they are now. */
  public RequestMetricsSnapshot snapshot() {
    List<RequestMetricsSnapshot.Results> results = new ArrayList<>(classes.size());
    classes.forEach(
        (name, counts) ->
            results.add(
                new RequestMetricsSnapshot.Results(
                    name,
                    counts.succeededRequests,
                    counts.rejectedRequests,
                    counts.failedRequests)));
    return new RequestMetricsSnapshot(
        receivedRequests,
        disconnectedRequests,
        outstandingRequests(),
        forwardedAttempts,
        List.copyOf(results));
  }
}
