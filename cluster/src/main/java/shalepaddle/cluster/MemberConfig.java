package shalepaddle.cluster;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Where a member lives, and where it finds the others.
 *
 * @param group the group's name
 * @param name the member's own, never used again once its folder is lost
 * @param folder what it must still know after a stop; its own alone
 * @param listen where it listens for the others, with port 0 for any
 * @param advertised where the others find it, null for where it listens
 * @param members those with whom the group began, and where this member finds them; a member that
 *     joins need not know all
 */
public record MemberConfig(
    String group,
    String name,
    Path folder,
    InetSocketAddress listen,
    InetSocketAddress advertised,
    SortedMap<String, InetSocketAddress> members) {
  private static final int MOST_NAME = 64;

  /**
   * Checks what can be checked without the others.
   *
   * @throws IllegalArgumentException says what is wrong, and what would be right
   */
  public MemberConfig {
    named("group", group);
    named("name", name);
    if (members.isEmpty()) {
      throw new IllegalArgumentException("no member is named: name those the group begins with");
    }
    members.keySet().forEach(member -> named("a member", member));
    members = new TreeMap<>(members);
  }

  private static void named(String what, String name) {
    if (!name.matches("[A-Za-z0-9._-]{1," + MOST_NAME + "}")) {
      throw new IllegalArgumentException(
          "%s '%s' must have 1 to %d letters, digits, dots, dashes"
              .formatted(what, name, MOST_NAME));
    }
  }

  /** For the members that begin a group, which are 1, 3, 5 or 7: an even one more helps nobody. */
  MemberConfig beginning() {
    if (members.size() % 2 == 0 || members.size() > 7) {
      throw new IllegalArgumentException(
          members.size()
              + " members begin a group: make it 3, 5 or 7, since one more than an odd"
              + " number survives no more losses");
    }
    if (!members.containsKey(name)) {
      throw new IllegalArgumentException(
          "'%s' is not among the members that begin the group (%s): init is for those, join for others"
              .formatted(name, String.join(", ", members.keySet())));
    }
    return this;
  }

  /** Where it finds the others with whom the group began. */
  Map<String, InetSocketAddress> others() {
    Map<String, InetSocketAddress> others = new TreeMap<>(members);
    others.remove(name);
    return others;
  }
}
