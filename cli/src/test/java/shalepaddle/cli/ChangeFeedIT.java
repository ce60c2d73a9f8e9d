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
 * Runs a group of three members and its subscribers as processes of the program. While commands are
 * committed, a member is killed, subscribers are stopped by signals, and the links between members
 * and subscribers lose or delay data or are cut, as drawn from a seed. {@code -Dfeed.runs=20} sets
 * the number of runs.
 */
@Timeout(600)
class ChangeFeedIT {
  private static final int RUNS = Integer.getInteger("feed.runs", 1);
  private static final int SUBSCRIBERS_PER_PROCESS = 40;
  private static final int COMMANDS_PER_RUN = 150;
  private static final List<String> MEMBERS = List.of("a", "b", "c");

  @TempDir private Path folder;
  private final Map<String, InetSocketAddress> memberAddresses = new LinkedHashMap<>();
  private final Map<String, InetSocketAddress> feedAddresses = new LinkedHashMap<>();
  private final Map<String, Process> processes = new LinkedHashMap<>();

  /** The links of each process of subscribers, one to each member, in order of process start. */
  private final List<FaultyLink> links = new ArrayList<>();

  private static InetSocketAddress findFreeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return (InetSocketAddress) socket.getLocalSocketAddress();
    }
  }

  private static String format(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private Process startCommand(
      String logName, Map<String, InetSocketAddress> addressByMember, String... arguments)
      throws IOException {
    List<String> command = new ArrayList<>(List.of(arguments));
    command.addAll(List.of("--group", "g"));
    addressByMember.forEach(
        (name, address) -> command.addAll(List.of("--member", name + "=" + format(address))));
    return ClusterProcess.start(folder.resolve("log-" + logName), command);
  }

  private String[] memberArguments(String subcommand, String name, String... moreArguments) {
    List<String> arguments =
        new ArrayList<>(
            List.of(
                subcommand,
                "--name",
                name,
                "--folder",
                folder.resolve(name).toString(),
                "--listen",
                format(memberAddresses.get(name))));
    arguments.addAll(List.of(moreArguments));
    return arguments.toArray(String[]::new);
  }

  private void startMember(String name) throws IOException {
    processes.put(
        name,
        startCommand(
            name,
            memberAddresses,
            memberArguments("member", name, "--feed", format(feedAddresses.get(name)))));
  }

  /** Starts a process of subscribers, which reaches each member over a faulty link of its own. */
  private void startSubscribers(String name) throws IOException {
    Map<String, InetSocketAddress> linkAddresses = new TreeMap<>();
    for (String member : MEMBERS) {
      FaultyLink link = new FaultyLink(feedAddresses.get(member));
      links.add(link);
      linkAddresses.put(member, link.address());
    }
    processes.put(
        name,
        startCommand(
            name,
            linkAddresses,
            "follow",
            "--name",
            name,
            "--many",
            Integer.toString(SUBSCRIBERS_PER_PROCESS)));
  }

  private void sendSignal(String name, String signalName) throws IOException, InterruptedException {
    long pid = processes.get(name).pid();
    new ProcessBuilder("kill", "-" + signalName, Long.toString(pid)).start().waitFor();
  }

  @AfterEach
  void stopProcesses() throws IOException {
    processes.values().forEach(Process::destroyForcibly);
    for (FaultyLink link : links) {
      link.close();
    }
  }

  private List<String> readLog(String name) throws IOException {
    Path log = folder.resolve("log-" + name);
    return Files.exists(log) ? Files.readAllLines(log) : List.of();
  }

  private String readLastProgress(String name) throws IOException {
    List<String> progressLines =
        readLog(name).stream().filter(line -> line.contains(" in contact, ")).toList();
    return progressLines.isEmpty() ? "" : progressLines.get(progressLines.size() - 1);
  }

  @Test
  void subscribersReachStateOfGroupDespiteFaults() throws Exception {
    for (int run = 1; run <= RUNS; run++) {
      runOnce(run);
      stopProcesses();
      processes.clear();
      links.clear();
      folder = Files.createDirectory(folder.resolve("next"));
    }
  }

  private void runOnce(int run) throws Exception {
    SplittableRandom random = new SplittableRandom(run);
    for (String name : MEMBERS) {
      memberAddresses.put(name, findFreeAddress());
      feedAddresses.put(name, findFreeAddress());
    }
    for (String name : MEMBERS) {
      assertEquals(0, startCommand(name, memberAddresses, memberArguments("init", name)).waitFor());
      startMember(name);
    }
    startSubscribers("f");
    startSubscribers("g");
    long lastIndex = 0;
    try (GroupClient client = new GroupClient("g", memberAddresses, line -> {})) {
      for (int commandNumber = 0; commandNumber < COMMANDS_PER_RUN; commandNumber++) {
        Proposal proposal =
            new Proposal(
                "r" + run + "w" + commandNumber,
                1000 + commandNumber,
                new StateCommand.SetExclusion("s-" + commandNumber, true));
        CommandResult answer = client.propose(proposal, null, 60_000);
        assertEquals(CommandResult.Outcome.COMMITTED, answer.outcome());
        lastIndex = answer.index();
        injectFault(commandNumber, random);
        Thread.sleep(random.nextInt(60));
      }
      links.forEach(FaultyLink::clearFaults);
      for (String name : processes.keySet()) {
        sendSignal(name, "CONT");
      }
    }
    String expectedProgress =
        "%d of %d in contact, last entry %d to %d, %d servers excluded"
            .formatted(
                SUBSCRIBERS_PER_PROCESS,
                SUBSCRIBERS_PER_PROCESS,
                lastIndex,
                lastIndex,
                COMMANDS_PER_RUN);
    for (String name : List.of("f", "g")) {
      for (int i = 0; i < 600 && !readLastProgress(name).equals(expectedProgress); i++) {
        Thread.sleep(50);
      }
      assertEquals(expectedProgress, readLastProgress(name), () -> "run " + run);
      assertEquals(
          List.of(),
          readLog(name).stream().filter(line -> line.startsWith("OUT OF ORDER")).toList());
    }
    // While its links lost all data, the process "f" must have printed that none of its subscribers
    // was in contact with a member.
    assertTrue(
        readLog("f").stream().anyMatch(line -> line.startsWith("0 of ")),
        "process f printed no line that reports 0 subscribers in contact");
  }

  /** Injects the faults that each run has at a fixed command, and others drawn from its seed. */
  private void injectFault(int commandNumber, SplittableRandom random) throws Exception {
    switch (commandNumber) {
      case 20 -> {
        // The first process of subscribers loses contact with all three members.
        links.subList(0, 3).forEach(FaultyLink::discardData);
        Thread.sleep(3500);
        links.subList(0, 3).forEach(FaultyLink::clearFaults);
      }
      case 50 -> processes.get("a").destroyForcibly().waitFor();
      case 70 -> startMember("a");
      case 90 -> sendSignal("g", "STOP");
      case 110 -> sendSignal("g", "CONT");
      default -> {
        if (commandNumber % 10 == 5) {
          FaultyLink link = links.get(random.nextInt(links.size()));
          switch (random.nextInt(4)) {
            case 0 -> link.discardData();
            case 1 -> link.closeConnections();
            case 2 -> link.setDelayMillis(1 + random.nextInt(80));
            default -> links.forEach(FaultyLink::clearFaults);
          }
        }
      }
    }
  }
}
