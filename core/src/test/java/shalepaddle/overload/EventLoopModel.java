package shalepaddle.overload;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import shalepaddle.model.Settings;

/**
 * A simulation of an event loop in virtual time, with or without an {@link OverloadControl}.
 * Serving a request takes 100 microseconds, and rejecting it a fraction of that. Requests wait in
 * the kernel's queue and are read in turns, like by a selector. Clients send new requests at a
 * given rate, independent of earlier answers, and may retry rejected requests.
 */
final class EventLoopModel {
  static final long NANOS_PER_MILLI = 1_000_000L;
  static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;
  static final int SUBMIT_CLASS_INDEX = 1;

  /**
   * A request of a client.
   *
   * @param arrivesAtNanos when it arrives in the kernel's queue
   * @param firstSentAtNanos when its first attempt was sent
   * @param serviceClass the index of its service class
   * @param retries the number of attempts before this one
   */
  private record SimulatedRequest(
      long arrivesAtNanos, long firstSentAtNanos, int serviceClass, int retries) {}

  /**
   * A client that sends its next request as soon as it has an answer.
   *
   * @param untilNanos when the client stops
   * @param retriesRejections whether it retries a rejected request instead of sending the next one
   * @param stormDetector the detector of its connection
   */
  private record ClosedLoopClient(
      long untilNanos, boolean retriesRejections, RetryStormDetector stormDetector) {}

  /** The final result of a request. */
  record RequestResult(
      long firstSentAtNanos, int serviceClass, int retries, boolean isServed, long latencyNanos) {}

  private final SplittableRandom random = new SplittableRandom(17);
  private final OverloadControl overloadControl;
  private final double rejectionCostRatio;
  private final int maxRetries;
  private final ArrayDeque<SimulatedRequest> queue = new ArrayDeque<>();
  private final PriorityQueue<SimulatedRequest> scheduledRequests =
      new PriorityQueue<>(Comparator.comparingLong(SimulatedRequest::arrivesAtNanos));
  private final IdentityHashMap<SimulatedRequest, ClosedLoopClient> clientsByRequest =
      new IdentityHashMap<>();
  final List<RequestResult> results = new ArrayList<>();

  /** The changes of the CPU pressure level, each with its time in milliseconds. */
  final List<String> levelChanges = new ArrayList<>();

  /** The lengths of all turns in nanoseconds; a request waits until the end of the current turn. */
  final List<Long> turnNanos = new ArrayList<>();

  /** Maximum number of requests read in a turn: those from one read of each connection. */
  private static final int MAX_REQUESTS_PER_TURN = 4096;

  private static final long SERVING_TIME_NANOS = NANOS_PER_MILLI / 10;

  /** How long a client waits for and retries a request. */
  private static final long CLIENT_TIMEOUT_NANOS = 2 * NANOS_PER_SECOND;

  /** The time from an answer to the next request of a client that does not wait. */
  private static final long NEXT_REQUEST_DELAY_NANOS = NANOS_PER_MILLI / 20;

  /**
   * The connection of each request, represented by its detector, if the number of connections is
   * limited.
   */
  private final IdentityHashMap<SimulatedRequest, RetryStormDetector> connectionsByRequest =
      new IdentityHashMap<>();

  /** The connections that no request uses, each represented by its detector. */
  private final ArrayDeque<RetryStormDetector> idleConnections = new ArrayDeque<>();

  private final ArrayDeque<SimulatedRequest> waitingForConnection = new ArrayDeque<>();
  private boolean limitsConnections;
  private boolean suspendsEarlyRetries = true;
  long nowNanos = NANOS_PER_SECOND;
  private double requestsPerSecond;
  private double submitRatio = 0.08;
  private long nextArrivalNanos = Long.MAX_VALUE;
  private double initialCostRatio = 1;
  private long coldSinceNanos;
  private long warmupNanos = 1;

  /**
   * Creates an idle loop.
   *
   * @param isSheddingEnabled whether the loop sheds load; otherwise it serves all requests in order
   * @param rejectionCostRatio the cost of a rejection, as a fraction of the cost of serving
   * @param maxRetries how often a rejected request is retried, each time after 5 to 50 ms
   */
  EventLoopModel(boolean isSheddingEnabled, double rejectionCostRatio, int maxRetries) {
    this.rejectionCostRatio = rejectionCostRatio;
    this.maxRetries = maxRetries;
    overloadControl =
        isSheddingEnabled
            ? new OverloadControl(
                settings(true),
                OverloadConfig.DEFAULT,
                7,
                (resource, previousLevel, newLevel, reading) ->
                    levelChanges.add(nowNanos / NANOS_PER_MILLI + " " + newLevel))
            : null;
  }

  static Settings settings(boolean clientsMarkRetries) {
    return new Settings(
        "a",
        List.of("a"),
        List.of("box"),
        0,
        1,
        false,
        clientsMarkRetries,
        Settings.Weights.NONE,
        new Settings.CacheMode(false, null, 0, 0),
        new Settings.Limits(1, true, true, false, false, true, 1, 0.1, 60, 32),
        new Settings.Contract(0.02, 10, 2, 0.1, 20, 3, 2),
        new Settings.Prices(0, 0, 0, 0, 0, 0, 0, 0, 0),
        List.of(
            service("read", 2, 0.75, Settings.Idempotency.IDEMPOTENT),
            service("submit", 5, 0.3, Settings.Idempotency.NOT_IDEMPOTENT)),
        List.of(new Settings.Tenant("big", 0.5, 100), new Settings.Tenant("none", 0.5, 0)),
        0.1,
        0.01);
  }

  private static Settings.ServiceClass service(
      String name,
      double priorityWeight,
      double objectiveSeconds,
      Settings.Idempotency idempotency) {
    return new Settings.ServiceClass(
        name,
        objectiveSeconds,
        0,
        2,
        priorityWeight,
        0.25,
        idempotency,
        Settings.DeduplicationScope.ALL,
        5,
        false);
  }

  OverloadControl overloadControl() {
    return overloadControl;
  }

  /**
   * Sets the rate of new requests from now on.
   *
   * @param submitRatio the fraction of them in the class "submit"; the others are reads
   */
  EventLoopModel load(double requestsPerSecond, double submitRatio) {
    this.requestsPerSecond = requestsPerSecond;
    this.submitRatio = submitRatio;
    nextArrivalNanos = nowNanos + nextInterarrivalNanos();
    return this;
  }

  /**
   * Adds clients that each send the next request as soon as the last one is answered, even if it
   * was rejected: they ignore the Retry-After.
   */
  EventLoopModel clients(int clientCount) {
    return clients(clientCount, Long.MAX_VALUE);
  }

  /** Adds clients as {@link #clients(int)} does, which stop at the given time. */
  EventLoopModel clients(int clientCount, long untilNanos) {
    return clients(clientCount, untilNanos, false);
  }

  /** Adds clients that retry each rejected request at once and ignore the Retry-After. */
  EventLoopModel retryingClients(int clientCount) {
    return clients(clientCount, Long.MAX_VALUE, true);
  }

  private EventLoopModel clients(int clientCount, long untilNanos, boolean retriesRejections) {
    List<SimulatedRequest> firstRequests = new ArrayList<>();
    for (int i = 0; i < clientCount; i++) {
      firstRequests.add(
          new SimulatedRequest(nowNanos, nowNanos, i % 12 == 0 ? SUBMIT_CLASS_INDEX : 0, 0));
    }
    firstRequests.forEach(
        request ->
            clientsByRequest.put(
                request,
                new ClosedLoopClient(untilNanos, retriesRejections, new RetryStormDetector())));
    scheduledRequests.addAll(firstRequests);
    return this;
  }

  /**
   * Sets the rate of new requests from now on and limits the number of connections. Each request
   * waits for a free connection. A rejected request is retried at once on its connection, until 2 s
   * after it was first sent.
   */
  EventLoopModel loadOverConnections(double requestsPerSecond, int connections) {
    for (int i = 0; i < connections; i++) {
      idleConnections.add(new RetryStormDetector());
    }
    limitsConnections = true;
    return load(requestsPerSecond, 0.08);
  }

  /** Assigns idle connections to waiting requests; drops requests that have waited too long. */
  private void assignConnections() {
    while (!waitingForConnection.isEmpty()
        && (!idleConnections.isEmpty()
            || waitingForConnection.peek().arrivesAtNanos() + CLIENT_TIMEOUT_NANOS < nowNanos)) {
      SimulatedRequest request = waitingForConnection.poll();
      if (request.arrivesAtNanos() + CLIENT_TIMEOUT_NANOS >= nowNanos) {
        connectionsByRequest.put(request, idleConnections.poll());
        queue.add(request);
      }
    }
  }

  /** Retries a rejected request on its connection; otherwise releases the connection. */
  private void onConnectionAnswered(
      RetryStormDetector connection, SimulatedRequest request, long retryAfterMillisOrAdmitted) {
    if (retryAfterMillisOrAdmitted == OverloadControl.ADMITTED
        || nowNanos - request.firstSentAtNanos() >= CLIENT_TIMEOUT_NANOS) {
      idleConnections.add(connection);
      return;
    }
    long pauseNanos =
        suspendsEarlyRetries
            ? connection.recordRejection(
                request.retries() > 0, retryAfterMillisOrAdmitted * NANOS_PER_MILLI, nowNanos)
            : 0;
    SimulatedRequest nextRequest =
        new SimulatedRequest(
            nowNanos + NEXT_REQUEST_DELAY_NANOS + pauseNanos,
            request.firstSentAtNanos(),
            request.serviceClass(),
            request.retries() + 1);
    connectionsByRequest.put(nextRequest, connection);
    scheduledRequests.add(nextRequest);
  }

  /** Disables the suspension of reading from connections with early retries. */
  EventLoopModel withoutReadSuspension() {
    suspendsEarlyRetries = false;
    return this;
  }

  /**
   * Simulates a cold start: serving costs a multiple of the usual time now, and falls to the usual
   * time within the given number of nanoseconds.
   */
  EventLoopModel coldStart(double costRatio, long durationNanos) {
    initialCostRatio = costRatio;
    coldSinceNanos = nowNanos;
    warmupNanos = durationNanos;
    return this;
  }

  private double costRatio() {
    double coldRatio = 1 - (nowNanos - coldSinceNanos) / (double) warmupNanos;
    return coldRatio > 0 ? 1 + (initialCostRatio - 1) * coldRatio : 1;
  }

  private long nextInterarrivalNanos() {
    return requestsPerSecond == 0
        ? Long.MAX_VALUE / 2
        : (long) (-Math.log(1 - random.nextDouble()) / requestsPerSecond * NANOS_PER_SECOND);
  }

  /** Stops the process for a time in nanoseconds, while requests continue to arrive. */
  void stall(long durationNanos) {
    nowNanos += durationNanos;
    overloadControl.onEventLoopStall(durationNanos, nowNanos);
  }

  /** Runs the loop for a time in nanoseconds. */
  void run(long durationNanos) {
    for (long untilNanos = nowNanos + durationNanos; nowNanos < untilNanos; ) {
      enqueueArrivals();
      long turnBeganAtNanos = nowNanos;
      runTurn();
      turnNanos.add(nowNanos - turnBeganAtNanos);
      if (overloadControl != null) {
        overloadControl.onLoopTurnEnd(turnBeganAtNanos, nowNanos, 0);
      }
      if (queue.isEmpty()) {
        // Sleeps until a request arrives, at most for 10 ms.
        nowNanos =
            Math.min(Math.max(nowNanos + 1, nextEventNanos()), nowNanos + 10 * NANOS_PER_MILLI);
      }
    }
  }

  private long nextEventNanos() {
    return scheduledRequests.isEmpty()
        ? nextArrivalNanos
        : Math.min(nextArrivalNanos, scheduledRequests.peek().arrivesAtNanos());
  }

  private void enqueueArrivals() {
    while (nextArrivalNanos <= nowNanos) {
      int serviceClass = random.nextDouble() < submitRatio ? SUBMIT_CLASS_INDEX : 0;
      SimulatedRequest request =
          new SimulatedRequest(nextArrivalNanos, nextArrivalNanos, serviceClass, 0);
      (limitsConnections ? waitingForConnection : queue).add(request);
      nextArrivalNanos += nextInterarrivalNanos();
    }
    while (!scheduledRequests.isEmpty() && scheduledRequests.peek().arrivesAtNanos() <= nowNanos) {
      queue.add(scheduledRequests.poll());
    }
    assignConnections();
  }

  /** Serves or rejects all requests in the queue, up to the maximum of a turn. */
  private void runTurn() {
    for (int requestsLeft = Math.min(queue.size(), MAX_REQUESTS_PER_TURN);
        requestsLeft > 0;
        requestsLeft--) {
      SimulatedRequest request = queue.poll();
      RetryStormDetector connection = connectionsByRequest.remove(request);
      long retryAfterMillisOrAdmitted =
          overloadControl == null
              ? OverloadControl.ADMITTED
              : overloadControl.admit(
                  request.serviceClass(),
                  -1,
                  request.firstSentAtNanos(),
                  request.retries() > 0,
                  nowNanos);
      boolean isServed = retryAfterMillisOrAdmitted == OverloadControl.ADMITTED;
      nowNanos += (long) (SERVING_TIME_NANOS * costRatio() * (isServed ? 1 : rejectionCostRatio));
      ClosedLoopClient client = clientsByRequest.remove(request);
      if (client != null && nowNanos < client.untilNanos()) {
        onClientAnswered(client, request, retryAfterMillisOrAdmitted);
      }
      if (connection != null) {
        onConnectionAnswered(connection, request, retryAfterMillisOrAdmitted);
      }
      if (!isServed && request.retries() < maxRetries) {
        long sentAtNanos = nowNanos + 5 * NANOS_PER_MILLI + random.nextLong(45 * NANOS_PER_MILLI);
        scheduledRequests.add(
            new SimulatedRequest(
                sentAtNanos,
                request.firstSentAtNanos(),
                request.serviceClass(),
                request.retries() + 1));
      } else {
        results.add(
            new RequestResult(
                request.firstSentAtNanos(),
                request.serviceClass(),
                request.retries(),
                isServed,
                nowNanos - request.firstSentAtNanos()));
      }
    }
  }

  /** Sends a client's next request, after the time for which reading from it is suspended. */
  private void onClientAnswered(
      ClosedLoopClient client, SimulatedRequest request, long retryAfterMillisOrAdmitted) {
    boolean isRetry =
        client.retriesRejections() && retryAfterMillisOrAdmitted != OverloadControl.ADMITTED;
    long pauseNanos =
        isRetry
            ? client
                .stormDetector()
                .recordRejection(
                    request.retries() > 0, retryAfterMillisOrAdmitted * NANOS_PER_MILLI, nowNanos)
            : 0;
    long sentAtNanos = nowNanos + NEXT_REQUEST_DELAY_NANOS + pauseNanos;
    SimulatedRequest nextRequest =
        new SimulatedRequest(
            sentAtNanos,
            isRetry ? request.firstSentAtNanos() : sentAtNanos,
            request.serviceClass(),
            isRetry ? request.retries() + 1 : 0);
    clientsByRequest.put(nextRequest, client);
    scheduledRequests.add(nextRequest);
  }

  /**
   * The fraction of the requests of a class, first sent at {@code sinceNanos} or later, that were
   * served within {@code maxLatencyNanos}.
   */
  double servedWithinRatio(int serviceClass, long sinceNanos, long maxLatencyNanos) {
    List<RequestResult> sentRequests =
        results.stream()
            .filter(
                result ->
                    result.serviceClass() == serviceClass
                        && result.firstSentAtNanos() >= sinceNanos)
            .toList();
    long servedInTime =
        sentRequests.stream()
            .filter(result -> result.isServed() && result.latencyNanos() <= maxLatencyNanos)
            .count();
    return (double) servedInTime / sentRequests.size();
  }

  /**
   * The priority weight served per second within the objective of its class, for requests first
   * sent in the given period.
   */
  double goodput(long sinceNanos, long untilNanos) {
    return results.stream()
            .filter(
                result ->
                    result.firstSentAtNanos() >= sinceNanos
                        && result.firstSentAtNanos() < untilNanos
                        && result.isServed())
            .mapToDouble(
                result ->
                    result.serviceClass() == SUBMIT_CLASS_INDEX
                        ? result.latencyNanos() <= 300 * NANOS_PER_MILLI ? 5 : 0
                        : result.latencyNanos() <= 750 * NANOS_PER_MILLI ? 2 : 0)
            .sum()
        / ((untilNanos - sinceNanos) / (double) NANOS_PER_SECOND);
  }

  /**
   * The usual serving time of all requests that were served in the given period, as a fraction of
   * the period.
   */
  double servingTimeRatio(long sinceNanos, long untilNanos) {
    long servedRequests =
        results.stream()
            .filter(
                result ->
                    result.isServed()
                        && result.firstSentAtNanos() + result.latencyNanos() >= sinceNanos
                        && result.firstSentAtNanos() + result.latencyNanos() < untilNanos)
            .count();
    return (double) servedRequests * SERVING_TIME_NANOS / (untilNanos - sinceNanos);
  }

  /** The 99th percentile of turn lengths in milliseconds, after the first {@code skippedTurns}. */
  double p99TurnMillis(int skippedTurns) {
    long[] sortedTurnNanos =
        turnNanos.stream().skip(skippedTurns).mapToLong(Long::longValue).toArray();
    Arrays.sort(sortedTurnNanos);
    return sortedTurnNanos[(int) (0.99 * sortedTurnNanos.length)] / (double) NANOS_PER_MILLI;
  }
}
