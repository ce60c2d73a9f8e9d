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
 * @param name the member's own; must not be used again once its folder is lost
 * @param folder the directory of its log, for it alone
 * @param listenAddress where it listens for the others, with port 0 for any
 * @param advertisedAddress where the others find it, null for the listen address, which then must
 *     not be a wildcard such as 0.0.0.0; resolved, which is not checked
 * @param initialMembers those with whom the group began, and where this member finds them; one that
 *     joins need not know all of them
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
   * Checks the names.
   *
   * @throws IllegalArgumentException says what is wrong, and what would be right
   */
  public MemberConfig {
    checkName("group", group);
    checkName("name", name);
    if (initialMembers.isEmpty()) {
      throw new IllegalArgumentException("no member is named: name those the group begins with");
    }
    initialMembers.keySet().forEach(member -> checkName("a member", member));
    initialMembers = new TreeMap<>(initialMembers);
  }

  private static void checkName(String what, String name) {
    if (!name.matches("[A-Za-z0-9._-]{1," + MAX_NAME_LENGTH + "}")) {
      throw new IllegalArgumentException(
          "%s '%s' must have 1 to %d letters, digits, dots, dashes or underscores"
              .formatted(what, name, MAX_NAME_LENGTH));
    }
  }

  /**
   * Checks that a group may begin with these members, and that this is one of them.
   *
   * @throws IllegalArgumentException says what is wrong, and what would be right
   */
  void checkInitialMembers() {
    if (initialMembers.size() % 2 == 0 || initialMembers.size() > MAX_INITIAL_MEMBERS) {
      throw new IllegalArgumentException(
          initialMembers.size()
              + " members begin a group: make it 3, 5 or 7, since one more than an odd"
              + " number survives no more losses");
    }
    if (!initialMembers.containsKey(name)) {
      throw new IllegalArgumentException(
          "'%s' is not among the members that begin the group (%s): init is for those, join for others"
              .formatted(name, String.join(", ", initialMembers.keySet())));
    }
  }

  /** Where it finds the other initial members. */
  Map<String, InetSocketAddress> otherMembers() {
    Map<String, InetSocketAddress> others = new TreeMap<>(initialMembers);
    others.remove(name);
    return others;
  }
}
