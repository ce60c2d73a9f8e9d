package shalepaddle.cluster;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The configuration of a member. Immutable.
 *
 * @param group the group's name
 * @param name the member's name, which must not be used again once its folder is lost
 * @param folder the directory of the member's log, which only this member may use
 * @param listenAddress the address at which the member listens for other members, with port 0 for
 *     any port
 * @param advertisedAddress the address at which other members reach this one, null for the listen
 *     address, which then must not be a wildcard such as 0.0.0.0. The advertised address must be
 *     resolved, which is not checked
 * @param initialMembers the addresses of the initial members of the group, by name; a member that
 *     joins later need not know all of them
 */
public record MemberConfig(
    String group,
    String name,
    Path folder,
    InetSocketAddress listenAddress,
    InetSocketAddress advertisedAddress,
    SortedMap<String, InetSocketAddress> initialMembers) {
  private static final int MAX_NAME_LENGTH = 64;
  private static final int MAX_INITIAL_MEMBERS = 7;

  /**
   * Creates a configuration and checks its names.
   *
   * @throws IllegalArgumentException if a name is invalid or there are no initial members
   */
  public MemberConfig {
    checkName("group", group);
    checkName("name", name);
    if (initialMembers.isEmpty()) {
      throw new IllegalArgumentException(
          "no member is given: specify the initial members of the group");
    }
    initialMembers.keySet().forEach(member -> checkName("a member", member));
    initialMembers = new TreeMap<>(initialMembers);
  }

  private static void checkName(String label, String name) {
    if (!name.matches("[A-Za-z0-9._-]{1," + MAX_NAME_LENGTH + "}")) {
      throw new IllegalArgumentException(
          "%s '%s' must have 1 to %d letters, digits, dots, dashes or underscores"
              .formatted(label, name, MAX_NAME_LENGTH));
    }
  }

  /**
   * Checks that a group may be created with the initial members, and that this is one of them.
   *
   * @throws IllegalArgumentException if their number is even or too large, or this is not one of
   *     them
   */
  void checkInitialMembers() {
    if (initialMembers.size() % 2 == 0 || initialMembers.size() > MAX_INITIAL_MEMBERS) {
      throw new IllegalArgumentException(
          "a group cannot be created with %d members: use 3, 5 or 7; an even number"
                  .formatted(initialMembers.size())
              + " of members survives no more failures than a group with one member fewer");
    }
    if (!initialMembers.containsKey(name)) {
      throw new IllegalArgumentException(
          "'%s' is not an initial member of the group (%s): use init for those, join for others"
              .formatted(name, String.join(", ", initialMembers.keySet())));
    }
  }

  /** The addresses of the other initial members, by name. */
  Map<String, InetSocketAddress> otherMembers() {
    Map<String, InetSocketAddress> otherMembers = new TreeMap<>(initialMembers);
    otherMembers.remove(name);
    return otherMembers;
  }
}
