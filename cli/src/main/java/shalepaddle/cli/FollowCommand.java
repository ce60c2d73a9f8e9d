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

/** Subscribes to a group's change feed, as one or many nodes do, and prints the progress. */
@Command(
    name = "follow",
    description =
        "Subscribes to a group's change feed, as one or many nodes would, until the process is"
            + " terminated.",
    mixinStandardHelpOptions = true)
final class FollowCommand implements Callable<Integer> {
  private static final int MAX_SUBSCRIBERS = 1000;
  private static final long PRINT_INTERVAL_MILLIS = 200;

  @Mixin private ClusterCommand.GroupOptions group;

  @Option(
      names = "--name",
      description = "Prefix of the subscribers' names (default: ${DEFAULT-VALUE}).")
  private String namePrefix = "n";

  @Option(
      names = "--many",
      description = "Number of subscribers, 1 to 1000 (default: ${DEFAULT-VALUE}).")
  private int subscriberCount = 1;

  private final List<Subscriber> subscribers = new ArrayList<>();
  private String lastLine = "";

  /** A subscriber to the change feed; prints each entry index that is not above the last one. */
  private static final class Subscriber implements ChangeFeedClient.Listener {
    private final String name;
    private ChangeFeedClient client;
    private long lastIndex;

    Subscriber(String name) {
      this.name = name;
    }

    private void advance(long newIndex) {
      if (newIndex <= lastIndex) {
        System.out.println(
            "OUT OF ORDER: " + name + " received entry " + newIndex + " after entry " + lastIndex);
      }
      lastIndex = newIndex;
    }

    @Override
    public void entryApplied(long entryIndex, Proposal proposal, CommandResult answer) {
      advance(entryIndex);
    }

    @Override
    public void snapshotInstalled(ReplicatedState.Snapshot snapshot) {
      advance(snapshot.index());
    }

    @Override
    public void contactChanged(boolean isInContact) {}

    @Override
    public void diagnostic(String text) {
      System.err.println(name + ": " + text);
    }
  }

  @Override
  public Integer call() throws InterruptedException {
    return ClusterCommand.runAction(
        "follow",
        () -> {
          if (subscriberCount < 1 || subscriberCount > MAX_SUBSCRIBERS) {
            throw new IllegalArgumentException(
                "--many is " + subscriberCount + ", expected 1 to " + MAX_SUBSCRIBERS);
          }
          List<InetSocketAddress> memberAddresses =
              List.copyOf(group.parseMemberAddresses().values());
          MultiThreadIoEventLoopGroup eventLoops =
              new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
          EventLoop loop = eventLoops.next();
          CountDownLatch terminationLatch = new CountDownLatch(1);
          Runtime.getRuntime().addShutdownHook(new Thread(terminationLatch::countDown));
          for (int i = 0; i < subscriberCount; i++) {
            Subscriber subscriber = new Subscriber(namePrefix + i);
            subscriber.client =
                new ChangeFeedClient(
                    loop,
                    group.name(),
                    subscriber.name,
                    memberAddresses,
                    System.nanoTime(),
                    subscriber);
            subscribers.add(subscriber);
          }
          loop.scheduleAtFixedRate(
              this::printProgress,
              PRINT_INTERVAL_MILLIS,
              PRINT_INTERVAL_MILLIS,
              TimeUnit.MILLISECONDS);
          terminationLatch.await();
          eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
          return 0;
        });
  }

  /** Prints the subscribers' progress if it has changed since the last line. */
  private void printProgress() {
    long subscribersInContact =
        subscribers.stream().filter(subscriber -> subscriber.client.isInContact()).count();
    long minIndex =
        subscribers.stream().mapToLong(subscriber -> subscriber.client.lastIndex()).min().orElse(0);
    long maxIndex =
        subscribers.stream().mapToLong(subscriber -> subscriber.client.lastIndex()).max().orElse(0);
    Set<List<String>> excludedServerLists = new HashSet<>();
    subscribers.forEach(
        subscriber -> excludedServerLists.add(subscriber.client.snapshot().excludedServers()));
    String line =
        "%d of %d in contact, last entry %d to %d, %s"
            .formatted(
                subscribersInContact,
                subscribers.size(),
                minIndex,
                maxIndex,
                excludedServerLists.size() == 1
                    ? excludedServerLists.iterator().next().size() + " servers excluded"
                    : excludedServerLists.size() + " different states");
    if (!line.equals(lastLine)) {
      lastLine = line;
      System.out.println(line);
    }
  }
}
