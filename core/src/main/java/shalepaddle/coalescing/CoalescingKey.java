package shalepaddle.coalescing;

import java.util.Objects;

/**
 * What two reads of one key must have in common to share a flight: they see the same value and are
 * forwarded in the same form.
 *
 * @param serviceClass the service class, which is forwarded to servers
 * @param tenant whose values are visible, null where tenants see the same
 */
public record CoalescingKey(String serviceClass, String tenant) {
  /** Whether it is the key of this class and tenant; does not allocate. */
  boolean matches(String otherClass, String otherTenant) {
    return serviceClass.equals(otherClass) && Objects.equals(tenant, otherTenant);
  }
}
