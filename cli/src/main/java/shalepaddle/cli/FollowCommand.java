package shalepaddle.cli;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import shalepaddle.replicatedstate.CommandResult;
import shalepaddle.replicatedstate.Proposal;
import shalepaddle.replicatedstate.ReplicatedState;
import shalepaddle.transport.ChangeFeedClient;

/** Follows the members of a group as nodes do, and tells how far those are. */
@Command(
    name = "follow",
    description = "Follows a group as so many nodes, until it is told to end.",
    mixinStandardHelpOptions = true)
final class FollowCommand implements Callable<Integer> {
  private static final int MOST = 1000;
  private static final long TELL_MILLIS = 200;

  @Mixin private ClusterCommand.Group group;

  @Option(
      names = "--name",
      description = "Begins the followers' names (default: ${DEFAULT-VALUE}).")
  private String name = "n";

  @Option(names = "--many", description = "How many follow, 1 to 1000 (default: ${DEFAULT-VALUE}).")
  private int many = 1;

  private final List<Follower> followers = new ArrayList<>();
  private String last = "";

  /** One of them. */
  private static final class Follower implements ChangeFeedClient.Listener {
    private final String name;
    private ChangeFeedClient link;
    private long index;

    Follower(String name) {
      this.name = name;
    }

    private void goesOn(long to) {
      if (to <= index) {
        System.out.println("BROKEN: " + name + " goes from " + index + " to " + to);
      }
      index = to;
    }

    @Override
    public void entryApplied(long to, Proposal proposal, CommandResult answer) {
      goesOn(to);
    }

    @Override
    public void snapshotInstalled(ReplicatedState.Snapshot image) {
      goesOn(image.index());
    }

    @Override
    public void contactChanged(boolean in) {}

    @Override
    public void diagnostic(String text) {
      System.err.println(name + ": " + text);
    }
  }

  @Override
  public Integer call() throws InterruptedException {
    return ClusterCommand.told(
        "follow",
        () -> {
          if (many < 1 || many > MOST) {
            throw new IllegalArgumentException("--many is 1 to " + MOST + ", and not " + many);
          }
          List<InetSocketAddress> members = List.copyOf(group.addresses().values());
          MultiThreadIoEventLoopGroup loops =
              new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
          EventLoop loop = loops.next();
          CountDownLatch end = new CountDownLatch(1);
          Runtime.getRuntime().addShutdownHook(new Thread(end::countDown));
          for (int i = 0; i < many; i++) {
            Follower follower = new Follower(name + i);
            follower.link =
                new ChangeFeedClient(
                    loop, group.name(), follower.name, members, System.nanoTime(), follower);
            followers.add(follower);
          }
          loop.scheduleAtFixedRate(this::tell, TELL_MILLIS, TELL_MILLIS, TimeUnit.MILLISECONDS);
          end.await();
          loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
          return 0;
        });
  }

  /** A line for each change, five a second at the most. */
  private void tell() {
    long inContact = followers.stream().filter(follower -> follower.link.isInContact()).count();
    long least =
        followers.stream().mapToLong(follower -> follower.link.lastIndex()).min().orElse(0);
    long most = followers.stream().mapToLong(follower -> follower.link.lastIndex()).max().orElse(0);
    Set<List<String>> states = new HashSet<>();
    followers.forEach(follower -> states.add(follower.link.snapshot().excludedServers()));
    String line =
        "%d of %d in contact, up to %d to %d, %s"
            .formatted(
                inContact,
                followers.size(),
                least,
                most,
                states.size() == 1
                    ? states.iterator().next().size() + " servers out"
                    : states.size() + " states");
    if (!line.equals(last)) {
      last = line;
      System.out.println(line);
    }
  }
}
