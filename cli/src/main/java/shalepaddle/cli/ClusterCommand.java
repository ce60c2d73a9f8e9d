package shalepaddle.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import shalepaddle.cluster.GroupClient;
import shalepaddle.cluster.GroupMember;
import shalepaddle.cluster.MemberConfig;
import shalepaddle.cluster.MemberFolder;
import shalepaddle.membership.MemberList;
import shalepaddle.raft.MemberStatus;
import shalepaddle.raft.RaftMember;
import shalepaddle.replicatedstate.CommandResult;
import shalepaddle.replicatedstate.Proposal;
import shalepaddle.replicatedstate.ReplicatedState;
import shalepaddle.replicatedstate.StateCommand;
import shalepaddle.settings.FormatException;

/** Commands for a Raft group whose members replicate the set of excluded cache servers. */
@Command(
    name = "cluster",
    description =
        "Creates, runs and queries a Raft group that replicates the set of excluded cache servers.",
    mixinStandardHelpOptions = true,
    subcommands = {
      ClusterCommand.Init.class,
      ClusterCommand.Join.class,
      ClusterCommand.Member.class,
      ClusterCommand.Status.class,
      ClusterCommand.ChangeExclusion.class,
      ClusterCommand.ListExclusions.class,
      FollowCommand.class,
      ClusterCommand.Remove.class
    })
final class ClusterCommand implements Callable<Integer> {
  @Override
  public Integer call() {
    new CommandLine(this).usage(System.err);
    return CommandLine.ExitCode.USAGE;
  }

  private static void log(String line) {
    System.err.println(line);
  }

  /** Options that name a group and the addresses of its members. */
  static final class GroupOptions {
    @Option(names = "--group", required = true, description = "The group's name.")
    private String groupName;

    @Option(
        names = "--member",
        required = true,
        paramLabel = "NAME=IP:PORT",
        description = "A member and its address as seen from here; repeated for each member.")
    private Map<String, String> memberAddresses = new LinkedHashMap<>();

    String name() {
      return groupName;
    }

    Map<String, InetSocketAddress> parseMemberAddresses() throws FormatException {
      Map<String, InetSocketAddress> addresses = new TreeMap<>();
      for (var member : memberAddresses.entrySet()) {
        addresses.put(member.getKey(), MemberList.parseAddress(member.getValue()));
      }
      return addresses;
    }

    GroupClient connect() throws IOException, FormatException {
      return new GroupClient(groupName, parseMemberAddresses(), System.err::println);
    }
  }

  /** Options of the member to which the subcommand applies. */
  static final class MemberOptions {
    @Option(names = "--name", required = true, description = "This member's name.")
    private String memberName;

    @Option(
        names = "--folder",
        required = true,
        description = "Folder of this member's log, used by no other process.")
    private Path folder;

    @Option(
        names = "--listen",
        required = true,
        paramLabel = "IP:PORT",
        description =
            "Address on which this member listens for other members: loopback, or the"
                + " installation's network.")
    private String listenAddress;

    @Option(
        names = "--advertise",
        paramLabel = "IP:PORT",
        description = "Address at which other members reach this one (default: that of --listen).")
    private String advertisedAddress;

    MemberConfig toConfig(GroupOptions group) throws FormatException {
      return new MemberConfig(
          group.groupName,
          memberName,
          folder,
          MemberList.parseAddress(listenAddress),
          advertisedAddress == null ? null : MemberList.parseAddress(advertisedAddress),
          new TreeMap<>(group.parseMemberAddresses()));
    }
  }

  /** The work of a subcommand; returns its exit code. */
  interface Action {
    int run() throws IOException, FormatException, InterruptedException;
  }

  /**
   * Runs a subcommand and prints its error, if any.
   *
   * @param subcommand the subcommand's name, for the message
   * @return the exit code: 2 after invalid arguments, 1 after an I/O error, else the action's own
   */
  static int runAction(String subcommand, Action action) throws InterruptedException {
    try {
      return action.run();
    } catch (FormatException | IllegalArgumentException e) {
      System.err.println("cluster " + subcommand + ": " + e.getMessage());
      return 2;
    } catch (IOException e) {
      System.err.println("cluster " + subcommand + ": " + e.getMessage());
      return 1;
    }
  }

  /** Creates the folder of an initial member. */
  @Command(
      name = "init",
      description = "Creates the folder of an initial member; run once for each of them.",
      mixinStandardHelpOptions = true)
  static final class Init implements Callable<Integer> {
    @Mixin private GroupOptions group;
    @Mixin private MemberOptions options;

    @Override
    public Integer call() throws InterruptedException {
      return runAction(
          "init",
          () -> {
            MemberFolder.initialize(options.toConfig(group));
            return 0;
          });
    }
  }

  /** Creates the folder of a member that joins an existing group. */
  @Command(
      name = "join",
      description = "Creates the folder of a new member, or of one that replaces a lost machine.",
      mixinStandardHelpOptions = true)
  static final class Join implements Callable<Integer> {
    @Mixin private GroupOptions group;
    @Mixin private MemberOptions options;

    @Override
    public Integer call() throws InterruptedException {
      return runAction(
          "join",
          () -> {
            MemberFolder.prepareJoin(options.toConfig(group));
            return 0;
          });
    }
  }

  /** Runs a group member in this process, without a node. */
  @Command(
      name = "member",
      description = "Runs a member until the process is terminated.",
      mixinStandardHelpOptions = true)
  static final class Member implements Callable<Integer> {
    @Mixin private GroupOptions group;
    @Mixin private MemberOptions options;

    @Option(
        names = "--feed",
        paramLabel = "IP:PORT",
        description = "Address of the change feed for nodes (default: no feed).")
    private String feedAddress;

    @Override
    public Integer call() throws InterruptedException {
      return runAction(
          "member",
          () -> {
            CountDownLatch terminationLatch = new CountDownLatch(1);
            try (GroupMember member =
                new GroupMember(options.toConfig(group), ClusterCommand::log)) {
              if (feedAddress != null) {
                System.err.println(
                    "change feed listens on "
                        + member.listenForSubscribers(MemberList.parseAddress(feedAddress)));
              }
              member.start(new GroupChangeLogger());
              System.err.println("the member listens for other members on " + member.address());
              Runtime.getRuntime().addShutdownHook(new Thread(terminationLatch::countDown));
              terminationLatch.await();
            }
            return 0;
          });
    }
  }

  /** Prints a line for each change of the term, the leader or the voting members. */
  private static final class GroupChangeLogger implements RaftMember.Listener {
    private String lastLine = "";

    @Override
    public void entryApplied(long index, byte[] body, Proposal proposal, CommandResult answer) {}

    @Override
    public void snapshotInstalled(ReplicatedState.Snapshot snapshot) {
      System.err.println("the member installed a snapshot up to entry " + snapshot.index());
    }

    @Override
    public void statusChanged(MemberStatus status) {
      String line =
          "group: term %d, leader %s, voting %s%s"
              .formatted(
                  status.term(),
                  status.leader(),
                  status.votingMembers(),
                  status.inactiveReason() == null ? "" : ", inactive: " + status.inactiveReason());
      if (!line.equals(lastLine)) {
        lastLine = line;
        System.err.println(line);
      }
    }
  }

  /** Prints the status of the group as each member reports it. */
  @Command(
      name = "status",
      description = "Prints the group's status as each member sees it; exits with 1 if none leads.",
      mixinStandardHelpOptions = true)
  static final class Status implements Callable<Integer> {
    @Mixin private GroupOptions group;

    @Override
    public Integer call() throws InterruptedException {
      return runAction(
          "status",
          () -> {
            boolean hasLeader = false;
            try (GroupClient client = group.connect()) {
              for (String member : group.parseMemberAddresses().keySet()) {
                hasLeader |= printStatus(client, member);
              }
            }
            return hasLeader ? 0 : 1;
          });
    }

    /** Prints a member's status and returns whether it leads. */
    private static boolean printStatus(GroupClient client, String member)
        throws InterruptedException {
      try {
        MemberStatus status = fetchStatus(client, member);
        System.out.printf(
            "%-12s %-9s term %-4d leader %-12s committed %-8d last %-8d voting %s%s%n",
            member,
            status.role(),
            status.term(),
            status.leader(),
            status.commitIndex(),
            status.lastLogIndex(),
            status.votingMembers(),
            status.inactiveReason() == null ? "" : "  INACTIVE: " + status.inactiveReason());
        return status.isLeader();
      } catch (IOException e) {
        System.out.printf("%-12s no answer: %s%n", member, e.getMessage());
        return false;
      }
    }

    /**
     * Requests a member's status up to 21 times: the first requests fail while the connection is
     * being opened.
     */
    private static MemberStatus fetchStatus(GroupClient client, String member)
        throws IOException, InterruptedException {
      for (int i = 0; i < 20; i++) {
        try {
          return client.status(member);
        } catch (IOException e) {
          Thread.sleep(20);
        }
      }
      return client.status(member);
    }
  }

  /** Excludes a cache server on all nodes, or includes it again. */
  @Command(
      name = "say",
      description = "Excludes a cache server on all nodes, or includes it again.",
      mixinStandardHelpOptions = true)
  static final class ChangeExclusion implements Callable<Integer> {
    @Mixin private GroupOptions group;

    @Parameters(index = "0", paramLabel = "exclude|include")
    private String action;

    @Parameters(index = "1", paramLabel = "SERVER", description = "The server's id in discovery.")
    private String serverId;

    @Option(
        names = "--id",
        description =
            "Id of the proposal: a repeat gets the first answer and has no effect (default: a new"
                + " id).")
    private String proposalId = UUID.randomUUID().toString();

    @Option(
        names = "--millis",
        description = "Milliseconds to wait for the answer (default: ${DEFAULT-VALUE}).")
    private long timeoutMillis = 3000;

    @Override
    public Integer call() throws InterruptedException {
      return runAction(
          "say",
          () -> {
            if (!action.equals("exclude") && !action.equals("include")) {
              throw new IllegalArgumentException(
                  "unknown action '" + action + "', expected exclude or include");
            }
            Proposal proposal =
                new Proposal(
                    proposalId,
                    System.currentTimeMillis(),
                    new StateCommand.SetExclusion(serverId, action.equals("exclude")));
            try (GroupClient client = group.connect()) {
              CommandResult answer = client.propose(proposal, null, timeoutMillis);
              System.out.println(answer.outcome().wireName() + " as entry " + answer.index());
              return answer.outcome() == CommandResult.Outcome.COMMITTED ? 0 : 1;
            } catch (IOException e) {
              throw new IOException(e.getMessage() + "; to retry, pass --id " + proposalId, e);
            }
          });
    }
  }

  /** Prints the excluded cache servers. */
  @Command(
      name = "held",
      description = "Prints the cache servers that the group has excluded.",
      mixinStandardHelpOptions = true)
  static final class ListExclusions implements Callable<Integer> {
    @Mixin private GroupOptions group;

    @Override
    public Integer call() throws InterruptedException {
      return runAction(
          "held",
          () -> {
            try (GroupClient client = group.connect()) {
              client.read(null, 3000).excludedServers().forEach(System.out::println);
            }
            return 0;
          });
    }
  }

  /** Removes a member from the group. */
  @Command(
      name = "remove",
      description = "Removes a member permanently; its name can't be used again.",
      mixinStandardHelpOptions = true)
  static final class Remove implements Callable<Integer> {
    @Mixin private GroupOptions group;

    @Parameters(index = "0", paramLabel = "NAME")
    private String memberName;

    @Override
    public Integer call() throws InterruptedException {
      return runAction(
          "remove",
          () -> {
            try (GroupClient client = group.connect()) {
              client.removeMember(memberName, 10_000);
            }
            return 0;
          });
    }
  }
}
