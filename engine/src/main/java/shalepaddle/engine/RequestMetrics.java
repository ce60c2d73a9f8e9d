package shalepaddle.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What has become of requests and attempts since the start, counted once, where it happens. Always:
 * taken = succeeded + declined + aborted + gone + {@link #outstanding}.
 *
 * <p>A class that is dropped keeps its counters, and goes on from there if it comes back. Classes
 * past the bound share the counters of one without a name: a file that names ever new classes must
 * not fill the memory.
 *
 * <p>Belongs to the engine's thread.
 */
public final class RequestMetrics {
  private static final int MOST_CLASSES = 256;
  private static final String REST = "";

  private static final class Counts {
    private long succeeded;
    private long declined;
    private long aborted;
  }

  private final Map<String, Counts> classes = new LinkedHashMap<>();
  private long taken;
  private long gone;
  private long ended;
  private long forwards;

  /** Names classes that there are: they are told with zeros from now on. */
  public void registerServices(List<String> services) {
    services.forEach(this::of);
  }

  private Counts of(String service) {
    Counts known = classes.get(service);
    if (known == null) {
      String name = classes.size() < MOST_CLASSES ? service : REST;
      known = classes.computeIfAbsent(name, any -> new Counts());
    }
    return known;
  }

  /** A request has been read off its connection, whole. */
  void requestReceived() {
    taken++;
  }

  /** A request that was taken has its final answer. */
  void answered(String service, Reply reply) {
    ended++;
    Counts counts = of(service);
    if (reply instanceof Reply.Rejected) {
      counts.declined++;
    } else if (reply instanceof Reply.Failed) {
      counts.aborted++;
    } else {
      counts.succeeded++;
    }
  }

  /** The last byte of a request's answer has come. */
  void streamed(String service) {
    ended++;
    of(service).succeeded++;
  }

  /** A request was turned away before it was taken apart: taken and refused at once. */
  public void rejectedBeforeParsing(String service) {
    taken++;
    ended++;
    of(service).declined++;
  }

  /** The client of a request that was taken has left before its answer. */
  void clientDisconnected() {
    gone++;
  }

  /** An attempt's last byte was handed to the socket. */
  void forwarded() {
    forwards++;
  }

  /** Requests taken and not ended. */
  public long outstanding() {
    return taken - ended - gone;
  }

  /** All of it, as it stands now. */
  public RequestMetricsSnapshot snapshot() {
    List<RequestMetricsSnapshot.Results> results = new ArrayList<>(classes.size());
    classes.forEach(
        (name, counts) ->
            results.add(
                new RequestMetricsSnapshot.Results(
                    name, counts.succeeded, counts.declined, counts.aborted)));
    return new RequestMetricsSnapshot(taken, gone, outstanding(), forwards, List.copyOf(results));
  }
}
