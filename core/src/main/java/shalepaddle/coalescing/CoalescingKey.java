package shalepaddle.coalescing;

import java.util.Objects;

/**
 * The attributes that two reads of one key must have in common to share a flight, so that they see
 * the same value and are forwarded in the same form.
 *
 * @param serviceClass the service class, which is forwarded to servers
 * @param tenant the tenant whose values are visible, null if all tenants see the same values
 */
public record CoalescingKey(String serviceClass, String tenant) {
  /** Whether this key has the given service class and tenant; does not allocate. */
  boolean matches(String otherClass, String otherTenant) {
    return serviceClass.equals(otherClass) && Objects.equals(tenant, otherTenant);
  }
}
