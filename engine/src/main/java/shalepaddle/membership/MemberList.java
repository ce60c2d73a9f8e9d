package shalepaddle.membership;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.UUID;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.model.ServerEntry;
import shalepaddle.settings.FormatException;
import shalepaddle.settings.JsonObject;

/**
 * The list of cache servers, or a change of it, as discovery sends it. Immutable.
 *
 * @param full whether it is the complete list
 * @param version its version
 * @param members its entries
 */
public record MemberList(boolean full, long version, List<Member> members) {

  /**
   * One cache server.
   *
   * @param entry its entry for the decisions
   * @param address where this node connects to it; null for one that was removed
   */
  public record Member(ServerEntry entry, SocketAddress address) {}

  /**
   * The complete list after this list or change of it.
   *
   * @param known the complete list before, null for none
   */
  public MemberList appliedTo(MemberList known) {
    Map<Long, Member> complete = new TreeMap<>();
    if (known != null && !full) {
      known.members.forEach(member -> complete.put(member.entry().id(), member));
    }
    for (Member member : members) {
      if (member.address() == null) {
        complete.remove(member.entry().id());
      } else {
        complete.put(member.entry().id(), member);
      }
    }
    return new MemberList(true, version, List.copyOf(complete.values()));
  }

  /**
   * Checks that no server has two entries.
   *
   * @throws FormatException if one has
   */
  public void requireDistinct() throws FormatException {
    Set<Long> seen = new HashSet<>();
    for (Member member : members) {
      if (!seen.add(member.entry().id())) {
        throw new FormatException("the list names an entry twice");
      }
    }
  }

  /**
   * This list, without servers that a list of an older version brings back from draining. Another
   * older list is applied as it is: discovery may have been restored to an older state, while a
   * replica that lags must do no harm.
   *
   * @param known the complete list as it is known, null for none
   */
  public MemberList withKnownDrains(MemberList known) {
    if (known == null || version >= known.version) {
      return this;
    }
    Map<Long, Member> draining = new HashMap<>();
    for (Member member : known.members) {
      if (member.entry().state() == ServerEntry.State.DRAINING) {
        draining.put(member.entry().id(), member);
      }
    }
    List<Member> result = new ArrayList<>();
    for (Member member : members) {
      Member drained = draining.get(member.entry().id());
      boolean revived =
          drained != null
              && member.entry().state() == ServerEntry.State.READY
              && member.entry().startedAtSeconds() <= drained.entry().startedAtSeconds();
      result.add(revived ? drained : member);
    }
    return new MemberList(full, version, List.copyOf(result));
  }

  /** The same for the decisions. */
  public MembershipUpdate toUpdate(MembershipUpdate.Kind kind) {
    return new MembershipUpdate(kind, version, members.stream().map(Member::entry).toList());
  }

  /**
   * Reads a list as discovery sends it.
   *
   * @throws FormatException if a key is missing or has another type
   */
  public static MemberList parse(JsonObject list) throws FormatException {
    List<Member> members = new ArrayList<>();
    for (JsonObject line : list.objects("servers")) {
      ServerEntry.State state =
          switch (line.requiredText("state")) {
            case "active" -> ServerEntry.State.READY;
            case "left" -> ServerEntry.State.REMOVED;
            default -> ServerEntry.State.DRAINING;
          };
      members.add(
          new Member(
              new ServerEntry(
                  serverNumber(line.requiredText("id")),
                  line.text("zone", ""),
                  line.text("kind", ""),
                  (int) line.number("cell", 0),
                  state,
                  line.number("weight", 1),
                  line.number("started_ms", 0) / 1e3),
              state == ServerEntry.State.REMOVED ? null : parseAddress(line.requiredText("addr"))));
    }
    return new MemberList(list.flag("full"), (long) list.requiredNumber("version"), members);
  }

  /**
   * The number by which the decisions know a server: a hash of the id alone, so that all nodes
   * agree on a key's ring owner, and wide enough that no two ids of a fleet collide.
   */
  public static long serverNumber(String id) {
    return UUID.nameUUIDFromBytes(id.getBytes(StandardCharsets.UTF_8)).getMostSignificantBits();
  }

  /**
   * Parses an IP address and a port. Names are not resolved: there is no DNS.
   *
   * @throws FormatException if the text is anything else
   */
  public static InetSocketAddress parseAddress(String text) throws FormatException {
    int colon = text.lastIndexOf(':');
    byte[] ip =
        colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      if (ip != null && port >= 0 && port < 1 << 16) {
        return new InetSocketAddress(InetAddress.getByAddress(ip), port);
      }
    } catch (NumberFormatException | UnknownHostException e) {
      // Rejected below.
    }
    throw new FormatException("'" + text + "' is not an IP address and port");
  }
}
