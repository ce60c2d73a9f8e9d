package shalepaddle.encoding;

import io.microraft.RaftEndpoint;

/**
 * A member of a Raft group, by the name under which it votes. A machine that has lost its disk
 * comes back under another name. Immutable.
 */
public record Endpoint(String name) implements RaftEndpoint, Comparable<Endpoint> {
  @Override
  public Object getId() {
    return name;
  }

  @Override
  public int compareTo(Endpoint other) {
    return name.compareTo(other.name);
  }

  /** The name of a member, null for none. */
  static String nameOf(RaftEndpoint endpoint) {
    return endpoint == null ? null : ((Endpoint) endpoint).name();
  }

  /** The member of a name, null for none. */
  static Endpoint ofName(String name) {
    return name == null ? null : new Endpoint(name);
  }
}
