package shalepaddle.coalescing;

import java.util.Objects;

/**
 * What makes two reads alike beside their key: both must see the same value, and be passed on in
 * the same words.
 *
 * @param serviceClass the class, which servers are told and decisions are made by
 * @param tenant whose values are seen, null where all see the same
 */
public record CoalescingKey(String serviceClass, String tenant) {
  boolean like(String otherClass, String otherTenant) {
    return serviceClass.equals(otherClass) && Objects.equals(tenant, otherTenant);
  }
}
