package shalepaddle.testkit;

import java.util.List;

/**
 * The load that {@link StandInClients} generate.
 *
 * @param ratePerSecond requests per second, as a Poisson process
 * @param keyCount number of different keys
 * @param zipfExponent exponent of the Zipf distribution from which keys are drawn, 0 for uniform
 * @param classes the request classes
 * @param disconnectShare share of the requests whose client disconnects before the response
 */
public record Traffic(
    double ratePerSecond,
    int keyCount,
    double zipfExponent,
    List<RequestClass> classes,
    double disconnectShare) {

  /**
   * A request class.
   *
   * @param name name of the class in the settings
   * @param share share of the class among all requests
   * @param isWrite whether the requests of the class are writes
   * @param hasIdempotencyKey whether the requests of the class carry an idempotency key
   * @param deadlineMillis how long clients wait for a response, in milliseconds
   * @param valueBytes length of the values written, in bytes
   */
  public record RequestClass(
      String name,
      double share,
      boolean isWrite,
      boolean hasIdempotencyKey,
      int deadlineMillis,
      int valueBytes) {}

  /** A copy with this rate in requests per second. */
  public Traffic withRate(double ratePerSecond) {
    return new Traffic(ratePerSecond, keyCount, zipfExponent, classes, disconnectShare);
  }
}
