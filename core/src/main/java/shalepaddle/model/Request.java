package shalepaddle.model;

/**
 * A client's request.
 *
 * @param id its unique id
 * @param key the key that it reads or writes; null if it has none
 * @param serviceClass the name of its service class
 * @param tenant its tenant; null where there are no tenants
 * @param budgetSeconds time until the client stops waiting for this request
 * @param workSeconds its expected work in seconds of a standard core, 0 if unknown
 * @param sizeBytes the value's size, 0 if unknown
 * @param isRetry whether the client marked it as a retry
 * @param isWrite whether it changes the value
 */
public record Request(
    String id,
    String key,
    String serviceClass,
    String tenant,
    double budgetSeconds,
    double workSeconds,
    double sizeBytes,
    boolean isRetry,
    boolean isWrite) {

  /** Returns this request with its budget limited to the given number of seconds. */
  public Request withBudgetAtMost(double seconds) {
    return withBudget(Math.min(budgetSeconds, seconds));
  }

  /** Returns this request with a budget of the given number of seconds. */
  public Request withBudget(double seconds) {
    return new Request(
        id, key, serviceClass, tenant, seconds, workSeconds, sizeBytes, isRetry, isWrite);
  }
}
