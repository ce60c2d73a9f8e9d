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
 * The list of cache servers, or a change of it, as received from discovery. Immutable.
 *
 * @param isComplete whether it is the complete list
 * @param version the list's version
 * @param members the list's entries
 */
public record MemberList(boolean isComplete, long version, List<Member> members) {

  /**
   * One cache server.
   *
   * @param entry the server as the policy sees it
   * @param address the address to connect to; null for a removed server
   */
  public record Member(ServerEntry entry, SocketAddress address) {}

  /**
   * The complete list that results from applying this list or change.
   *
   * @param knownList the previous complete list, null for none
   */
  public MemberList appliedTo(MemberList knownList) {
    Map<Long, Member> membersByNumber = new TreeMap<>();
    if (knownList != null && !isComplete) {
      knownList.members.forEach(member -> membersByNumber.put(member.entry().id(), member));
    }
    for (Member member : members) {
      if (member.address() == null) {
        membersByNumber.remove(member.entry().id());
      } else {
        membersByNumber.put(member.entry().id(), member);
      }
    }
    return new MemberList(true, version, List.copyOf(membersByNumber.values()));
  }

  /**
   * Checks that no server has two entries.
   *
   * @throws FormatException if a server has two entries
   */
  public void requireDistinctServers() throws FormatException {
    Set<Long> seenNumbers = new HashSet<>();
    for (Member member : members) {
      if (!seenNumbers.add(member.entry().id())) {
        throw new FormatException("the endpoint list has two entries for one server");
      }
    }
  }

  /**
   * This list, in which servers that are known to drain keep draining if this list is of an older
   * version. A lagging replica of discovery can send such a list, and must not make a draining
   * server ready again. A server that was restarted since then is ready. Otherwise an older list is
   * applied unchanged, since discovery may have been restored to an older state.
   *
   * @param knownList the known complete list, null for none
   */
  public MemberList withKnownDrains(MemberList knownList) {
    if (knownList == null || version >= knownList.version) {
      return this;
    }
    Map<Long, Member> drainingMembers = new HashMap<>();
    for (Member member : knownList.members) {
      if (member.entry().state() == ServerEntry.State.DRAINING) {
        drainingMembers.put(member.entry().id(), member);
      }
    }
    List<Member> mergedMembers = new ArrayList<>();
    for (Member member : members) {
      Member drainingMember = drainingMembers.get(member.entry().id());
      boolean isOutdated =
          drainingMember != null
              && member.entry().state() == ServerEntry.State.READY
              && member.entry().startedAtSeconds() <= drainingMember.entry().startedAtSeconds();
      mergedMembers.add(isOutdated ? drainingMember : member);
    }
    return new MemberList(isComplete, version, List.copyOf(mergedMembers));
  }

  /** This list as an update for the policy. */
  public MembershipUpdate toUpdate(MembershipUpdate.Kind kind) {
    return new MembershipUpdate(kind, version, members.stream().map(Member::entry).toList());
  }

  /**
   * Parses a list in discovery's JSON format.
   *
   * @throws FormatException if a key is missing or has the wrong type
   */
  public static MemberList parse(JsonObject list) throws FormatException {
    List<Member> members = new ArrayList<>();
    for (JsonObject server : list.objects("servers")) {
      ServerEntry.State state =
          switch (server.requiredText("state")) {
            case "active" -> ServerEntry.State.READY;
            case "left" -> ServerEntry.State.REMOVED;
            default -> ServerEntry.State.DRAINING;
          };
      members.add(
          new Member(
              new ServerEntry(
                  serverNumber(server.requiredText("id")),
                  server.text("zone", ""),
                  server.text("kind", ""),
                  (int) server.number("cell", 0),
                  state,
                  server.number("weight", 1),
                  server.number("started_ms", 0) / 1e3),
              state == ServerEntry.State.REMOVED
                  ? null
                  : parseAddress(server.requiredText("addr"))));
    }
    return new MemberList(list.flag("full"), (long) list.requiredNumber("version"), members);
  }

  /**
   * The number that identifies a server in the policy: a hash of its id only, so that all nodes
   * agree on a key's ring owner, and wide enough to make collisions within a fleet improbable.
   */
  public static long serverNumber(String id) {
    return UUID.nameUUIDFromBytes(id.getBytes(StandardCharsets.UTF_8)).getMostSignificantBits();
  }

  /**
   * Parses an IP address and a port. Host names are not resolved, since there is no DNS.
   *
   * @throws FormatException if the text is not an IP address and port
   */
  public static InetSocketAddress parseAddress(String text) throws FormatException {
    int colonIndex = text.lastIndexOf(':');
    byte[] ip =
        colonIndex < 0
            ? null
            : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colonIndex));
    try {
      int port = Integer.parseInt(text.substring(colonIndex + 1));
      if (ip != null && port >= 0 && port < 1 << 16) {
        return new InetSocketAddress(InetAddress.getByAddress(ip), port);
      }
    } catch (NumberFormatException | UnknownHostException e) {
      // The invalid address is rejected below.
    }
    throw new FormatException("'" + text + "' is not an IP address and port");
  }
}
