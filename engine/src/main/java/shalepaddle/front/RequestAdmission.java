package shalepaddle.front;

import shalepaddle.overload.OverloadControl;

/**
 * Asked about each request before more of it is read than names its class, tenant, key and repeat,
 * and before anything is allocated that a refused one does not need.
 *
 * <p>Called on the event loop alone.
 */
public interface RequestAdmission {
  /** The answer for a request that is admitted. */
  long ADMITTED = OverloadControl.ADMITTED;

  /** Added to the advice of a refusal whose client has tried before, as far as is known. */
  long RETRY = OverloadControl.RETRY_FLAG;

  /** Admits all and counts nothing. */
  RequestAdmission ADMIT_ALL =
      new RequestAdmission() {
        @Override
        public boolean mayReject() {
          return false;
        }

        @Override
        public long admit(int serviceClass, int tenant, long subject, boolean repeat) {
          return ADMITTED;
        }
      };

  /** Whether any request may be refused now: while not, none needs to be looked at early. */
  boolean mayReject();

  /**
   * A request has come.
   *
   * @param serviceClass the place of its class in the settings
   * @param tenant the place of its tenant there, -1 for none that is known
   * @param subject a hash of its key
   * @param repeat whether its client marked it as a repeat
   * @return {@link #ADMITTED}, or in how many milliseconds its client should come again, 0 for no
   *     advice, with {@link #RETRY} added where it has come again
   */
  long admit(int serviceClass, int tenant, long subject, boolean repeat);

  /** An admitted request of this class was refused all the same, since there is no room for it. */
  default void rejectedAfterAdmission(String serviceClass) {}
}
