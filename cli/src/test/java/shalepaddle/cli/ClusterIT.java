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
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import shalepaddle.cluster.GroupClient;
import shalepaddle.replicatedstate.CommandResult;
import shalepaddle.replicatedstate.Proposal;
import shalepaddle.replicatedstate.ReplicatedState;
import shalepaddle.replicatedstate.StateCommand;
import shalepaddle.testkit.FaultyLink;

/**
 * Runs the members of a group as processes of the program, with a link in each direction between
 * any two of them. Faults drawn from a seed lose or delay data on the links, cut the links, stop
 * and kill processes, and remove the folders of killed ones. {@code -Dcluster.runs=200} sets the
 * number of runs.
 */
@Timeout(1800)
class ClusterIT {
  private static final int RUNS = Integer.getInteger("cluster.runs", 1);
  private static final int FIRST_RUN = Integer.getInteger("cluster.first", 1);
  private static final int CLIENTS = 4;
  private static final int CALLS_PER_CLIENT = 150;

  @TempDir private Path folder;

  /** A machine that runs a member, with links to the other machines. */
  private final class Machine {
    private final String name;
    private final int port;
    private final Path memberFolder;
    private final Map<String, FaultyLink> links = new TreeMap<>();
    private Process process;

    Machine(String name) throws IOException {
      this.name = name;
      try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        port = socket.getLocalPort();
      }
      memberFolder = folder.resolve(name + "-" + port);
    }

    InetSocketAddress address() {
      return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /** Starts a cluster command that reaches the other machines over this machine's links. */
    Process start(String subcommand, List<String> memberNames) throws IOException {
      List<String> command = new ArrayList<>(List.of(subcommand, "--group", "g"));
      command.addAll(List.of("--name", name, "--folder", memberFolder.toString()));
      command.addAll(List.of("--listen", "127.0.0.1:" + port));
      for (String member : memberNames) {
        int memberPort = member.equals(name) ? port : links.get(member).address().getPort();
        command.addAll(List.of("--member", member + "=127.0.0.1:" + memberPort));
      }
      return ClusterProcess.start(folder.resolve("log-" + name), command);
    }

    void sendSignal(String signalName) throws IOException, InterruptedException {
      new ProcessBuilder("kill", "-" + signalName, Long.toString(process.pid())).start().waitFor();
    }

    void kill() throws InterruptedException {
      process.destroyForcibly().waitFor();
    }

    void deleteFolder() throws IOException {
      try (Stream<Path> paths = Files.walk(memberFolder)) {
        for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
          Files.delete(path);
        }
      }
    }
  }

  /** The machines that are in the group now, by name. */
  private final Map<String, Machine> machines = new LinkedHashMap<>();

  /**
   * All machines that were ever in the group. Lost machines keep their links, since new members are
   * started with the addresses of the initial members.
   */
  private final Map<String, Machine> allMachines = new LinkedHashMap<>();

  private final List<String> initialMembers = List.of("a", "b", "c");

  /** Index of the entry of each committed proposal, by the proposal's id. */
  private final Map<String, Long> committedIndexes = new ConcurrentHashMap<>();

  private final ConcurrentLinkedQueue<String> violations = new ConcurrentLinkedQueue<>();
  private final AtomicLong highestCommittedIndex = new AtomicLong();

  private void createLink(Machine source, Machine target) throws IOException {
    if (source != target && !source.links.containsKey(target.name)) {
      source.links.put(target.name, new FaultyLink(target.address()));
    }
  }

  private Machine addMachine(String name) throws IOException {
    Machine machine = new Machine(name);
    for (Machine other : allMachines.values()) {
      createLink(machine, other);
      createLink(other, machine);
    }
    machines.put(name, machine);
    allMachines.put(name, machine);
    return machine;
  }

  private GroupClient connect() throws IOException {
    Map<String, InetSocketAddress> addresses = new HashMap<>();
    machines.values().forEach(machine -> addresses.put(machine.name, machine.address()));
    return new GroupClient("g", addresses, line -> {});
  }

  /** Sends proposals, waits for the answer to each, and reads the group's state after some. */
  private void callGroup(GroupClient client, int clientNumber, int run) {
    SplittableRandom random = new SplittableRandom(run * 100L + clientNumber);
    try {
      for (int i = 0; i < CALLS_PER_CLIENT; i++) {
        String id = "r" + run + "c" + clientNumber + "i" + i;
        Proposal proposal =
            new Proposal(
                id,
                1000 + i,
                new StateCommand.SetExclusion("s-" + clientNumber + "-" + i % 7, i % 3 != 0));
        CommandResult answer = client.propose(proposal, null, 60_000);
        committedIndexes.put(id, answer.index());
        highestCommittedIndex.accumulateAndGet(answer.index(), Math::max);
        if (random.nextInt(5) == 0) {
          long minIndex = highestCommittedIndex.get();
          ReplicatedState.Snapshot snapshot = client.read(null, 60_000);
          if (snapshot.index() < minIndex) {
            violations.add(
                "read returned the state at entry "
                    + snapshot.index()
                    + " after entry "
                    + minIndex
                    + " was committed");
          }
        }
        Thread.sleep(random.nextInt(40));
      }
    } catch (IOException e) {
      violations.add("client " + clientNumber + ": " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Test
  void keepsCommittedProposalsWhenMachinesAndDisksAreLost() throws Exception {
    long committedProposals = 0;
    int lostMachines = 0;
    for (int run = FIRST_RUN; run < FIRST_RUN + RUNS; run++) {
      machines.clear();
      allMachines.clear();
      committedIndexes.clear();
      highestCommittedIndex.set(0);
      lostMachines += runOnce(run);
      assertEquals(List.of(), List.copyOf(violations), "run " + run);
      committedProposals += committedIndexes.size();
    }
    System.out.printf(
        "%d runs: %d proposals committed, %d machines lost with their disks%n",
        RUNS, committedProposals, lostMachines);
  }

  /** Runs a group under faults; returns how many machines were lost with their disks. */
  private int runOnce(int run) throws Exception {
    SplittableRandom random = new SplittableRandom(run);
    for (String name : initialMembers) {
      addMachine(name);
    }
    for (Machine machine : machines.values()) {
      assertEquals(0, machine.start("init", initialMembers).waitFor());
      machine.process = machine.start("member", initialMembers);
    }
    int lostMachines = 0;
    try (GroupClient client = connect()) {
      List<Thread> threads = new ArrayList<>();
      for (int i = 0; i < CLIENTS; i++) {
        int clientNumber = i;
        Thread thread = new Thread(() -> callGroup(client, clientNumber, run));
        thread.start();
        threads.add(thread);
      }
      for (int i = 0; threads.stream().anyMatch(Thread::isAlive); i++) {
        Thread.sleep(200 + random.nextInt(600));
        List<Machine> currentMachines = List.copyOf(machines.values());
        Machine faultyMachine = currentMachines.get(random.nextInt(currentMachines.size()));
        FaultyLink link =
            List.copyOf(faultyMachine.links.values())
                .get(random.nextInt(faultyMachine.links.size()));
        if (i == 3 || i == 9) {
          // Loses a machine at fixed steps, so that each run includes this fault.
          lostMachines++;
          replace(faultyMachine, client, "n" + run + "-" + lostMachines);
          continue;
        }
        switch (random.nextInt(7)) {
          case 0 -> link.discardData();
          case 1 -> link.closeConnections();
          case 2 -> link.setDelayMillis(1 + random.nextInt(80));
          case 3 -> {
            faultyMachine.sendSignal("STOP");
            Thread.sleep(random.nextInt(1500));
            faultyMachine.sendSignal("CONT");
          }
          case 4 -> {
            faultyMachine.kill();
            faultyMachine.process = faultyMachine.start("member", initialMembers);
          }
          default ->
              currentMachines.forEach(
                  machine -> machine.links.values().forEach(FaultyLink::clearFaults));
        }
      }
      machines.values().forEach(machine -> machine.links.values().forEach(FaultyLink::clearFaults));
      verify(client, run);
    } finally {
      for (Machine machine : allMachines.values()) {
        machine.process.destroyForcibly();
        for (FaultyLink link : machine.links.values()) {
          link.close();
        }
      }
    }
    return lostMachines;
  }

  /**
   * Kills a machine and deletes its folder, adds another one under a new name, and removes the lost
   * member once the new one votes.
   */
  private void replace(Machine lostMachine, GroupClient client, String newName) throws Exception {
    lostMachine.kill();
    lostMachine.deleteFolder();
    for (Machine machine : machines.values()) {
      machine.links.values().forEach(FaultyLink::clearFaults);
    }
    Machine replacement = addMachine(newName);
    assertEquals(0, replacement.start("join", initialMembers).waitFor());
    replacement.process = replacement.start("member", initialMembers);
    client.setAddress(newName, replacement.address());
    client.removeAddress(lostMachine.name);
    machines.remove(lostMachine.name);
    for (int i = 0; i < 600; i++) {
      try {
        if (client.status(newName).votingMembers().contains(newName)) {
          client.removeMember(lostMachine.name, 20_000);
          return;
        }
      } catch (IOException e) {
        // The new member does not answer yet.
      }
      Thread.sleep(50);
    }
    violations.add(newName + " did not become a voting member");
  }

  /**
   * Repeats each proposal and checks that the repeat returns the index of the entry committed at
   * first and has no effect.
   */
  private void verify(GroupClient client, int run) throws Exception {
    for (int clientNumber = 0; clientNumber < CLIENTS; clientNumber++) {
      for (int i = 0; i < CALLS_PER_CLIENT; i++) {
        String id = "r" + run + "c" + clientNumber + "i" + i;
        CommandResult repeatResult =
            client.propose(
                new Proposal(id, 1, new StateCommand.SetExclusion("another", true)), null, 30_000);
        if (repeatResult.index() != committedIndexes.getOrDefault(id, -1L)) {
          violations.add(
              id
                  + " was committed as entry "
                  + committedIndexes.get(id)
                  + ", but its repeat returned entry "
                  + repeatResult.index());
        }
      }
    }
    if (client.read(null, 30_000).excludedServers().contains("another")) {
      violations.add("a repeated proposal had a second effect");
    }
    assertTrue(highestCommittedIndex.get() >= (long) CLIENTS * CALLS_PER_CLIENT);
  }
}
