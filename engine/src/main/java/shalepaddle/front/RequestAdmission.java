package shalepaddle.front;

import shalepaddle.overload.OverloadControl;

/**
 * Admits or rejects each request before more of it is read than its class, tenant, key and whether
 * it is a retry, and before anything is allocated that a rejected request does not need.
 *
 * <p>Called on the event loop alone.
 */
public interface RequestAdmission {
  /** What {@link #admit} returns for a request that is admitted. */
  long ADMITTED = OverloadControl.ADMITTED;

  /** Added to the Retry-After of a rejected request that is a retry, as far as is known. */
  long RETRY = OverloadControl.RETRY_FLAG;

  /** Admits all and counts nothing. */
  RequestAdmission ADMIT_ALL =
      new RequestAdmission() {
        @Override
        public boolean mayReject() {
          return false;
        }

        @Override
        public long admit(int serviceClass, int tenant, long keyHash, boolean isRetry) {
          return ADMITTED;
        }
      };

  /** Whether any request may be rejected now: while not, none needs to be looked at early. */
  boolean mayReject();

  /**
   * A request has come. Called once for each, also while none may be rejected.
   *
   * @param serviceClass the index of its class in the settings
   * @param tenant the index of its tenant there, -1 for none that is known
   * @param keyHash a hash of its key, 0 where it is admitted in any case
   * @param isRetry whether its client marked it as a retry
   * @return {@link #ADMITTED}, or the Retry-After in milliseconds, 0 for none, with {@link #RETRY}
   *     added where it is a retry
   */
  long admit(int serviceClass, int tenant, long keyHash, boolean isRetry);

  /** An admitted request of this class was rejected all the same, for lack of memory. */
  default void rejectedAfterAdmission(String serviceClass) {}
}
