package shalepaddle.model;

/**
 * A client's request as it arrives.
 *
 * @param id its id, never used twice
 * @param key what it is about; null where it names nothing
 * @param serviceClass the name of its class
 * @param tenant whose it is; null where there are no tenants
 * @param budgetSeconds seconds until the client gives this try up
 * @param workSeconds the work expected of it in seconds of a standard core, 0 if unknown
 * @param sizeBytes the value's size in bytes, 0 if unknown
 * @param retry whether the client marked it as a repeat
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

  /** The same request, with no more than so many seconds for it. */
  public Request withBudgetAtMost(double seconds) {
    return withBudget(Math.min(budgetSeconds, seconds));
  }

  /** The same request, with so many seconds for it. */
  public Request withBudget(double seconds) {
    return new Request(
        id, key, serviceClass, tenant, seconds, workSeconds, sizeBytes, retry, write);
  }
}
