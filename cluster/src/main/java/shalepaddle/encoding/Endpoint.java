package shalepaddle.encoding;

import io.microraft.RaftEndpoint;

/**
 * A member of a Raft group, identified by the name under which it votes. A machine that has lost
 * its disk rejoins under another name. Immutable.
 *
 * @param name the member's name, unique in its group
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

  /** The name of an endpoint, null for null. */
  static String nameOf(RaftEndpoint endpoint) {
    return endpoint == null ? null : ((Endpoint) endpoint).name();
  }

  /** The endpoint with a name, null for null. */
  static Endpoint ofName(String name) {
    return name == null ? null : new Endpoint(name);
  }
}
