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

/** A group of members that hold promises by majority. */
@Command(
    name = "cluster",
    description = "Begins, runs and asks a group that holds promises by majority.",
    mixinStandardHelpOptions = true,
    subcommands = {
      ClusterCommand.Init.class,
      ClusterCommand.Join.class,
      ClusterCommand.Member.class,
      ClusterCommand.Status.class,
      ClusterCommand.Say.class,
      ClusterCommand.Held.class,
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

  /** The group, as a caller knows it. */
  static final class Group {
    @Option(names = "--group", required = true, description = "The group's name.")
    private String group;

    @Option(
        names = "--member",
        required = true,
        paramLabel = "NAME=IP:PORT",
        description = "A member, and where it is found from here; once for each.")
    private Map<String, String> members = new LinkedHashMap<>();

    String name() {
      return group;
    }

    Map<String, InetSocketAddress> addresses() throws FormatException {
      Map<String, InetSocketAddress> addresses = new TreeMap<>();
      for (var member : members.entrySet()) {
        addresses.put(member.getKey(), MemberList.parseAddress(member.getValue()));
      }
      return addresses;
    }

    GroupClient caller() throws IOException, FormatException {
      return new GroupClient(group, addresses(), System.err::println);
    }
  }

  /** Where a member lives. */
  static final class Own {
    @Option(names = "--name", required = true, description = "This member's name.")
    private String name;

    @Option(names = "--folder", required = true, description = "What it keeps; its own alone.")
    private Path folder;

    @Option(
        names = "--listen",
        required = true,
        paramLabel = "IP:PORT",
        description = "Where it listens for the others: loopback, or the installation's network.")
    private String listen;

    @Option(
        names = "--advertise",
        paramLabel = "IP:PORT",
        description = "Where others find it (default: where it listens).")
    private String advertise;

    MemberConfig place(Group group) throws FormatException {
      return new MemberConfig(
          group.group,
          name,
          folder,
          MemberList.parseAddress(listen),
          advertise == null ? null : MemberList.parseAddress(advertise),
          new TreeMap<>(group.addresses()));
    }
  }

  interface Step {
    int run() throws IOException, FormatException, InterruptedException;
  }

  /** What is wrong with what was asked for ends with 2, what went wrong with 1. */
  static int told(String name, Step step) throws InterruptedException {
    try {
      return step.run();
    } catch (FormatException | IllegalArgumentException e) {
      System.err.println("cluster " + name + ": " + e.getMessage());
      return 2;
    } catch (IOException e) {
      System.err.println("cluster " + name + ": " + e.getMessage());
      return 1;
    }
  }

  /** The folder of one of those that begin a group. */
  @Command(
      name = "init",
      description = "Makes the folder of a member with whom the group begins; once on each.",
      mixinStandardHelpOptions = true)
  static final class Init implements Callable<Integer> {
    @Mixin private Group group;
    @Mixin private Own own;

    @Override
    public Integer call() throws InterruptedException {
      return told(
          "init",
          () -> {
            MemberFolder.initialize(own.place(group));
            return 0;
          });
    }
  }

  /** The folder of one that comes later. */
  @Command(
      name = "join",
      description = "Makes the folder of a new member, or of a machine that lost its own.",
      mixinStandardHelpOptions = true)
  static final class Join implements Callable<Integer> {
    @Mixin private Group group;
    @Mixin private Own own;

    @Override
    public Integer call() throws InterruptedException {
      return told(
          "join",
          () -> {
            MemberFolder.prepareJoin(own.place(group));
            return 0;
          });
    }
  }

  /** A member by itself, without a node beside it. */
  @Command(
      name = "member",
      description = "Runs a member until it is told to end.",
      mixinStandardHelpOptions = true)
  static final class Member implements Callable<Integer> {
    @Mixin private Group group;
    @Mixin private Own own;

    @Option(
        names = "--feed",
        paramLabel = "IP:PORT",
        description = "Where nodes may follow this member (default: nowhere).")
    private String feed;

    @Override
    public Integer call() throws InterruptedException {
      return told(
          "member",
          () -> {
            CountDownLatch end = new CountDownLatch(1);
            try (GroupMember member = new GroupMember(own.place(group), ClusterCommand::log)) {
              if (feed != null) {
                System.err.println(
                    "feeds on " + member.listenForSubscribers(MemberList.parseAddress(feed)));
              }
              member.start(new Lines());
              System.err.println("listens on " + member.address());
              Runtime.getRuntime().addShutdownHook(new Thread(end::countDown));
              end.await();
            }
            return 0;
          });
    }
  }

  /** A line for each change of the group. */
  private static final class Lines implements RaftMember.Listener {
    private String last = "";

    @Override
    public void entryApplied(long index, byte[] body, Proposal proposal, CommandResult answer) {}

    @Override
    public void snapshotInstalled(ReplicatedState.Snapshot image) {
      System.err.println("caught up by a snapshot to entry " + image.index());
    }

    @Override
    public void statusChanged(MemberStatus now) {
      String line =
          "group: term %d, leader %s, voting %s%s"
              .formatted(
                  now.term(),
                  now.leader(),
                  now.votingMembers(),
                  now.inactiveReason() == null ? "" : ", stepped aside: " + now.inactiveReason());
      if (!line.equals(last)) {
        last = line;
        System.err.println(line);
      }
    }
  }

  /** How the members see the group. */
  @Command(
      name = "status",
      description = "Tells how each member sees the group; ends with 1 if nobody leads.",
      mixinStandardHelpOptions = true)
  static final class Status implements Callable<Integer> {
    @Mixin private Group group;

    @Override
    public Integer call() throws InterruptedException {
      return told(
          "status",
          () -> {
            boolean led = false;
            try (GroupClient caller = group.caller()) {
              for (String member : group.addresses().keySet()) {
                led |= line(caller, member);
              }
            }
            return led ? 0 : 1;
          });
    }

    private static boolean line(GroupClient caller, String member) throws InterruptedException {
      try {
        MemberStatus standing = standing(caller, member);
        System.out.printf(
            "%-12s %-9s term %-4d leader %-12s committed %-8d last %-8d voting %s%s%n",
            member,
            standing.role(),
            standing.term(),
            standing.leader(),
            standing.commitIndex(),
            standing.lastLogIndex(),
            standing.votingMembers(),
            standing.inactiveReason() == null ? "" : "  ASIDE: " + standing.inactiveReason());
        return standing.isLeader();
      } catch (IOException e) {
        System.out.printf("%-12s no answer: %s%n", member, e.getMessage());
        return false;
      }
    }

    /** The first question only opens the connection. */
    private static MemberStatus standing(GroupClient caller, String member)
        throws IOException, InterruptedException {
      for (int i = 0; i < 20; i++) {
        try {
          return caller.status(member);
        } catch (IOException e) {
          Thread.sleep(20);
        }
      }
      return caller.status(member);
    }
  }

  /** A word for all nodes. */
  @Command(
      name = "say",
      description = "Leaves a cache server out for all nodes, or puts it back.",
      mixinStandardHelpOptions = true)
  static final class Say implements Callable<Integer> {
    @Mixin private Group group;

    @Parameters(index = "0", paramLabel = "exclude|include")
    private String word;

    @Parameters(index = "1", paramLabel = "SERVER", description = "Its id, as discovery has it.")
    private String server;

    @Option(
        names = "--id",
        description =
            "The same again gets the same answer, and no second effect (default: a new one).")
    private String id = UUID.randomUUID().toString();

    @Option(names = "--millis", description = "How long to wait (default: ${DEFAULT-VALUE}).")
    private long millis = 3000;

    @Override
    public Integer call() throws InterruptedException {
      return told(
          "say",
          () -> {
            if (!word.equals("exclude") && !word.equals("include")) {
              throw new IllegalArgumentException("'" + word + "': say exclude or include");
            }
            Proposal proposal =
                new Proposal(
                    id,
                    System.currentTimeMillis(),
                    new StateCommand.SetExclusion(server, word.equals("exclude")));
            try (GroupClient caller = group.caller()) {
              CommandResult answer = caller.propose(proposal, null, millis);
              System.out.println(answer.outcome().wireName() + " as entry " + answer.index());
              return answer.outcome() == CommandResult.Outcome.COMMITTED ? 0 : 1;
            } catch (IOException e) {
              throw new IOException(e.getMessage() + "; ask again with --id " + id, e);
            }
          });
    }
  }

  /** What is held. */
  @Command(
      name = "held",
      description = "Tells the cache servers that the group holds out.",
      mixinStandardHelpOptions = true)
  static final class Held implements Callable<Integer> {
    @Mixin private Group group;

    @Override
    public Integer call() throws InterruptedException {
      return told(
          "held",
          () -> {
            try (GroupClient caller = group.caller()) {
              caller.read(null, 3000).excludedServers().forEach(System.out::println);
            }
            return 0;
          });
    }
  }

  /** A member leaves. */
  @Command(
      name = "remove",
      description = "Takes a member out of the group for good; its name is not used again.",
      mixinStandardHelpOptions = true)
  static final class Remove implements Callable<Integer> {
    @Mixin private Group group;

    @Parameters(index = "0", paramLabel = "NAME")
    private String name;

    @Override
    public Integer call() throws InterruptedException {
      return told(
          "remove",
          () -> {
            try (GroupClient caller = group.caller()) {
              caller.removeMember(name, 10_000);
            }
            return 0;
          });
    }
  }
}
