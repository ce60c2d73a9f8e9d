package shalepaddle.model;

/**
 * A client's request.
 *
 * @param id its id, never used twice
 * @param key the key that it reads or writes; null if it has none
 * @param serviceClass the name of its service class
 * @param tenant its tenant; null where there are no tenants
 * @param budgetSeconds time until the client gives up this attempt of its own
 * @param workSeconds work expected of it in seconds of a standard core, 0 if unknown
 * @param sizeBytes the value's size, 0 if unknown
 * @param retry whether the client marked it as a retry
 * @param write whether it changes the value
 */
public record Request(
    String id,
    String key,
    String serviceClass,
    String tenant,
    double budgetSeconds,
    double workSeconds,
    double sizeBytes,
    boolean retry,
    boolean write) {

  /** The same request with a budget of at most so many seconds. */
  public Request withBudgetAtMost(double seconds) {
    return withBudget(Math.min(budgetSeconds, seconds));
  }

  /** The same request with a budget of so many seconds. */
  public Request withBudget(double seconds) {
    return new Request(
        id, key, serviceClass, tenant, seconds, workSeconds, sizeBytes, retry, write);
  }
}
