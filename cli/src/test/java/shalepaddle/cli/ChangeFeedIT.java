package shalepaddle.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import shalepaddle.cluster.GroupClient;
import shalepaddle.replicatedstate.CommandResult;
import shalepaddle.replicatedstate.Proposal;
import shalepaddle.replicatedstate.StateCommand;
import shalepaddle.testkit.FaultyLink;

/**
 * A group of three members and its followers as processes of the program: members killed and
 * stopped, followers stopped, and the links between them lost, cut and delayed by a seed, while
 * words are agreed on. {@code -Dfeed.runs=20} plays more.
 */
@Timeout(600)
class ChangeFeedIT {
  private static final int RUNS = Integer.getInteger("feed.runs", 1);
  private static final int FOLLOWERS = 40;
  private static final int WORDS = 150;
  private static final List<String> NAMES = List.of("a", "b", "c");

  @TempDir private Path folder;
  private final Map<String, InetSocketAddress> members = new LinkedHashMap<>();
  private final Map<String, InetSocketAddress> feeds = new LinkedHashMap<>();
  private final Map<String, Process> processes = new LinkedHashMap<>();
  private final List<FaultyLink> links = new ArrayList<>();

  private static InetSocketAddress free() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return (InetSocketAddress) socket.getLocalSocketAddress();
    }
  }

  private static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private Process run(String log, Map<String, InetSocketAddress> group, String... words)
      throws IOException {
    List<String> command = new ArrayList<>(List.of(words));
    command.addAll(List.of("--group", "g"));
    group.forEach((name, at) -> command.addAll(List.of("--member", name + "=" + text(at))));
    return ClusterProcess.start(folder.resolve("log-" + log), command);
  }

  private String[] member(String word, String name, String... more) {
    List<String> words =
        new ArrayList<>(
            List.of(
                word,
                "--name",
                name,
                "--folder",
                folder.resolve(name).toString(),
                "--listen",
                text(members.get(name))));
    words.addAll(List.of(more));
    return words.toArray(String[]::new);
  }

  private void startMember(String name) throws IOException {
    processes.put(
        name, run(name, members, member("member", name, "--feed", text(feeds.get(name)))));
  }

  /** Followers in one process, each member behind a link of their own. */
  private void startFollowers(String name) throws IOException {
    Map<String, InetSocketAddress> seen = new TreeMap<>();
    for (String member : NAMES) {
      FaultyLink link = new FaultyLink(feeds.get(member));
      links.add(link);
      seen.put(member, link.address());
    }
    processes.put(
        name, run(name, seen, "follow", "--name", name, "--many", Integer.toString(FOLLOWERS)));
  }

  private void signal(String name, String signal) throws IOException, InterruptedException {
    long pid = processes.get(name).pid();
    new ProcessBuilder("kill", "-" + signal, Long.toString(pid)).start().waitFor();
  }

  @AfterEach
  void end() throws IOException {
    processes.values().forEach(Process::destroyForcibly);
    for (FaultyLink link : links) {
      link.close();
    }
  }

  private List<String> lines(String name) throws IOException {
    Path log = folder.resolve("log-" + name);
    return Files.exists(log) ? Files.readAllLines(log) : List.of();
  }

  private String last(String name) throws IOException {
    List<String> told =
        lines(name).stream().filter(line -> line.contains(" in contact, ")).toList();
    return told.isEmpty() ? "" : told.get(told.size() - 1);
  }

  @Test
  void allFollowersComeToHoldWhatTheGroupHolds() throws Exception {
    for (int run = 1; run <= RUNS; run++) {
      play(run);
      end();
      processes.clear();
      links.clear();
      folder = Files.createDirectory(folder.resolve("next"));
    }
  }

  private void play(int run) throws Exception {
    SplittableRandom random = new SplittableRandom(run);
    for (String name : NAMES) {
      members.put(name, free());
      feeds.put(name, free());
    }
    for (String name : NAMES) {
      assertEquals(0, run(name, members, member("init", name)).waitFor());
      startMember(name);
    }
    startFollowers("f");
    startFollowers("g");
    long index = 0;
    try (GroupClient caller = new GroupClient("g", members, line -> {})) {
      for (int word = 0; word < WORDS; word++) {
        Proposal proposal =
            new Proposal(
                "r" + run + "w" + word,
                1000 + word,
                new StateCommand.SetExclusion("s-" + word, true));
        CommandResult answer = caller.propose(proposal, null, 60_000);
        assertEquals(CommandResult.Outcome.COMMITTED, answer.outcome());
        index = answer.index();
        trouble(word, random);
        Thread.sleep(random.nextInt(60));
      }
      links.forEach(FaultyLink::heal);
      for (String name : processes.keySet()) {
        signal(name, "CONT");
      }
    }
    String all =
        "%d of %d in contact, up to %d to %d, %d servers out"
            .formatted(FOLLOWERS, FOLLOWERS, index, index, WORDS);
    for (String name : List.of("f", "g")) {
      for (int i = 0; i < 600 && !last(name).equals(all); i++) {
        Thread.sleep(50);
      }
      assertEquals(all, last(name), () -> "run " + run);
      assertEquals(
          List.of(), lines(name).stream().filter(line -> line.startsWith("BROKEN")).toList());
    }
    // Each of them was out of contact at some time, and said so.
    assertTrue(lines("f").stream().anyMatch(line -> line.startsWith("0 of ")), "never out");
  }

  /** What each run has at a set time, and what its seed adds. */
  private void trouble(int word, SplittableRandom random) throws Exception {
    switch (word) {
      case 20 -> {
        // All three at once for the first process of followers: it is out of contact.
        links.subList(0, 3).forEach(FaultyLink::lose);
        Thread.sleep(3500);
        links.subList(0, 3).forEach(FaultyLink::heal);
      }
      case 50 -> processes.get("a").destroyForcibly().waitFor();
      case 70 -> startMember("a");
      case 90 -> signal("g", "STOP");
      case 110 -> signal("g", "CONT");
      default -> {
        if (word % 10 == 5) {
          FaultyLink link = links.get(random.nextInt(links.size()));
          switch (random.nextInt(4)) {
            case 0 -> link.lose();
            case 1 -> link.cut();
            case 2 -> link.delay(1 + random.nextInt(80));
            default -> links.forEach(FaultyLink::heal);
          }
        }
      }
    }
  }
}
