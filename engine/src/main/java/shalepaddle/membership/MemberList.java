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
 * The list of cache servers, or a change of it, in discovery's form.
 *
 * @param full whether it is the whole list
 * @param version its version
 * @param members its lines
 */
public record MemberList(boolean full, long version, List<Member> members) {

  /**
   * One cache server.
   *
   * @param entry what the decision module is told of it
   * @param address where this node reaches it; null for one that has left
   */
  public record Member(ServerEntry entry, SocketAddress address) {}

  /**
   * The whole list, once this news of it has been taken in.
   *
   * @param before the whole list until then, null for none
   */
  public MemberList appliedTo(MemberList before) {
    Map<Long, Member> whole = new TreeMap<>();
    if (before != null && !full) {
      before.members.forEach(member -> whole.put(member.entry().id(), member));
    }
    for (Member member : members) {
      if (member.address() == null) {
        whole.remove(member.entry().id());
      } else {
        whole.put(member.entry().id(), member);
      }
    }
    return new MemberList(true, version, List.copyOf(whole.values()));
  }

  /** Rejects a list that says two things of one server. */
  public void requireDistinct() throws FormatException {
    Set<Long> seen = new HashSet<>();
    for (Member member : members) {
      if (!seen.add(member.entry().id())) {
        throw new FormatException("the list names an entry twice");
      }
    }
  }

  /**
   * This list, whose version may be older than that of what is known: then nobody comes back who is
   * known to leave, unless started anew. An older list is taken otherwise, since discovery may have
   * been put back to an older state; from a replica that lags it may do no harm.
   *
   * @param known the whole list as it is known, null for none
   */
  public MemberList withKnownDrains(MemberList known) {
    if (known == null || version >= known.version) {
      return this;
    }
    Map<Long, Member> leaving = new HashMap<>();
    for (Member member : known.members) {
      if (member.entry().state() == ServerEntry.State.DRAINING) {
        leaving.put(member.entry().id(), member);
      }
    }
    List<Member> kept = new ArrayList<>();
    for (Member member : members) {
      Member gone = leaving.get(member.entry().id());
      boolean again =
          gone != null
              && member.entry().state() == ServerEntry.State.READY
              && member.entry().startedAtSeconds() <= gone.entry().startedAtSeconds();
      kept.add(again ? gone : member);
    }
    return new MemberList(full, version, List.copyOf(kept));
  }

  /** What the decision module is told of it. */
  public MembershipUpdate toUpdate(MembershipUpdate.Kind kind) {
    return new MembershipUpdate(kind, version, members.stream().map(Member::entry).toList());
  }

  /** Reads a list in discovery's form. */
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
   * The number by which the module knows a server: made from the id alone, so that all nodes agree
   * on a key's home, and wide enough that no two ids of a fleet meet.
   */
  public static long serverNumber(String id) {
    return UUID.nameUUIDFromBytes(id.getBytes(StandardCharsets.UTF_8)).getMostSignificantBits();
  }

  /** An address and port written in figures: there is no DNS. */
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
      // Told below.
    }
    throw new FormatException("'" + text + "' is not an IP address and port");
  }
}
