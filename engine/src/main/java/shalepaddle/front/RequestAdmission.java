package shalepaddle.front;

import shalepaddle.overload.OverloadControl;

/**
 * Admits or rejects each request by its class, tenant, key and whether it is a retry, before the
 * rest of it is parsed and before anything is allocated that a rejected request does not need.
 *
 * <p>Called only on the event loop.
 */
public interface RequestAdmission {
  /** The result of {@link #admit} for a request that is admitted. */
  long ADMITTED = OverloadControl.ADMITTED;

  /** Added to the Retry-After of a rejected request that is known to be a retry. */
  long RETRY_FLAG = OverloadControl.RETRY_FLAG;

  /** Admits all requests and counts none. */
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

  /** Whether any request may be rejected now; if not, requests need no check before parsing. */
  boolean mayReject();

  /**
   * Admits or rejects a request. Called once for each request, also while none may be rejected.
   *
   * @param serviceClass the index of the service class in the settings
   * @param tenant the index of the tenant in the settings, -1 for no known tenant
   * @param keyHash a hash of the key, 0 if the request is admitted in any case
   * @param isRetry whether the client marked the request as a retry
   * @return {@link #ADMITTED}, or the Retry-After in milliseconds, 0 for none, with {@link
   *     #RETRY_FLAG} added if the request is a retry
   */
  long admit(int serviceClass, int tenant, long keyHash, boolean isRetry);

  /** Called when an admitted request of this class was rejected for lack of memory. */
  default void rejectedAfterAdmission(String serviceClass) {}
}
