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
 * Members of a group as processes of the program, each ordered pair joined by a link of its own
 * that loses, delays and cuts by a seed; processes stopped, killed, and killed with their folders.
 * {@code -Dcluster.runs=200} plays more.
 */
@Timeout(1800)
class ClusterIT {
  private static final int RUNS = Integer.getInteger("cluster.runs", 1);
  private static final int FIRST = Integer.getInteger("cluster.first", 1);
  private static final int CALLERS = 4;
  private static final int CALLS = 150;

  @TempDir private Path folder;

  /** One machine. */
  private final class Machine {
    private final String name;
    private final int port;
    private final Path home;
    private final Map<String, FaultyLink> links = new TreeMap<>();
    private Process process;

    Machine(String name) throws IOException {
      this.name = name;
      try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        port = free.getLocalPort();
      }
      home = folder.resolve(name + "-" + port);
    }

    InetSocketAddress address() {
      return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /** Runs a command of the program for this machine, in whose words the others are links. */
    Process command(String word, List<String> began) throws IOException {
      List<String> command = new ArrayList<>(List.of(word, "--group", "g"));
      command.addAll(List.of("--name", name, "--folder", home.toString()));
      command.addAll(List.of("--listen", "127.0.0.1:" + port));
      for (String member : began) {
        int there = member.equals(name) ? port : links.get(member).address().getPort();
        command.addAll(List.of("--member", member + "=127.0.0.1:" + there));
      }
      return ClusterProcess.start(folder.resolve("log-" + name), command);
    }

    void signal(String signal) throws IOException, InterruptedException {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    void kill() throws InterruptedException {
      process.destroyForcibly().waitFor();
    }

    void loseFolder() throws IOException {
      try (Stream<Path> all = Files.walk(home)) {
        for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
          Files.delete(path);
        }
      }
    }
  }

  /** Those that run, and all that ever did: some know only those with whom the group began. */
  private final Map<String, Machine> machines = new LinkedHashMap<>();

  private final Map<String, Machine> everyone = new LinkedHashMap<>();
  private final List<String> began = List.of("a", "b", "c");
  private final Map<String, Long> yes = new ConcurrentHashMap<>();
  private final ConcurrentLinkedQueue<String> broken = new ConcurrentLinkedQueue<>();
  private final AtomicLong highestYes = new AtomicLong();

  private void join(Machine from, Machine to) throws IOException {
    if (from != to && !from.links.containsKey(to.name)) {
      from.links.put(to.name, new FaultyLink(to.address()));
    }
  }

  private Machine add(String name) throws IOException {
    Machine made = new Machine(name);
    for (Machine other : everyone.values()) {
      join(made, other);
      join(other, made);
    }
    machines.put(name, made);
    everyone.put(name, made);
    return made;
  }

  private GroupClient caller() throws IOException {
    Map<String, InetSocketAddress> addresses = new HashMap<>();
    machines.values().forEach(machine -> addresses.put(machine.name, machine.address()));
    return new GroupClient("g", addresses, line -> {});
  }

  /** Asks for one promise after the other, each until it is answered; and reads in between. */
  private void call(GroupClient caller, int number, int run) {
    SplittableRandom random = new SplittableRandom(run * 100L + number);
    try {
      for (int i = 0; i < CALLS; i++) {
        String id = "r" + run + "c" + number + "i" + i;
        Proposal proposal =
            new Proposal(
                id,
                1000 + i,
                new StateCommand.SetExclusion("s-" + number + "-" + i % 7, i % 3 != 0));
        CommandResult answer = caller.propose(proposal, null, 60_000);
        yes.put(id, answer.index());
        highestYes.accumulateAndGet(answer.index(), Math::max);
        if (random.nextInt(5) == 0) {
          long atLeast = highestYes.get();
          ReplicatedState.Snapshot image = caller.read(null, 60_000);
          if (image.index() < atLeast) {
            broken.add("read up to " + image.index() + ", " + atLeast + " was answered before");
          }
        }
        Thread.sleep(random.nextInt(40));
      }
    } catch (IOException e) {
      broken.add("caller " + number + ": " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Test
  void nothingThatWasPromisedIsLostWithAMachineAndItsDisk() throws Exception {
    long promised = 0;
    int lostDisks = 0;
    for (int run = FIRST; run < FIRST + RUNS; run++) {
      machines.clear();
      everyone.clear();
      yes.clear();
      highestYes.set(0);
      lostDisks += play(run);
      assertEquals(List.of(), List.copyOf(broken), "run " + run);
      promised += yes.size();
    }
    System.out.printf(
        "%d runs: %d promises, %d machines lost with their disks%n", RUNS, promised, lostDisks);
  }

  private int play(int run) throws Exception {
    SplittableRandom random = new SplittableRandom(run);
    for (String name : began) {
      add(name);
    }
    for (Machine machine : machines.values()) {
      assertEquals(0, machine.command("init", began).waitFor());
      machine.process = machine.command("member", began);
    }
    int lost = 0;
    try (GroupClient caller = caller()) {
      List<Thread> threads = new ArrayList<>();
      for (int i = 0; i < CALLERS; i++) {
        int number = i;
        Thread thread = new Thread(() -> call(caller, number, run));
        thread.start();
        threads.add(thread);
      }
      for (int i = 0; threads.stream().anyMatch(Thread::isAlive); i++) {
        Thread.sleep(200 + random.nextInt(600));
        List<Machine> all = List.copyOf(machines.values());
        Machine one = all.get(random.nextInt(all.size()));
        FaultyLink link = List.copyOf(one.links.values()).get(random.nextInt(one.links.size()));
        if (i == 3 || i == 9) {
          // At a set time, so that each run has it.
          lost++;
          replace(one, caller, "n" + run + "-" + lost);
          continue;
        }
        switch (random.nextInt(7)) {
          case 0 -> link.lose();
          case 1 -> link.cut();
          case 2 -> link.delay(1 + random.nextInt(80));
          case 3 -> {
            one.signal("STOP");
            Thread.sleep(random.nextInt(1500));
            one.signal("CONT");
          }
          case 4 -> {
            one.kill();
            one.process = one.command("member", began);
          }
          default -> all.forEach(machine -> machine.links.values().forEach(FaultyLink::heal));
        }
      }
      machines.values().forEach(machine -> machine.links.values().forEach(FaultyLink::heal));
      verify(caller, run);
    } finally {
      for (Machine machine : everyone.values()) {
        machine.process.destroyForcibly();
        for (FaultyLink link : machine.links.values()) {
          link.close();
        }
      }
    }
    return lost;
  }

  /** A machine goes with its disk; another comes under a new name, and the old one is taken out. */
  private void replace(Machine lost, GroupClient caller, String name) throws Exception {
    lost.kill();
    lost.loseFolder();
    for (Machine machine : machines.values()) {
      machine.links.values().forEach(FaultyLink::heal);
    }
    Machine fresh = add(name);
    assertEquals(0, fresh.command("join", began).waitFor());
    fresh.process = fresh.command("member", began);
    caller.setAddress(name, fresh.address());
    caller.removeAddress(lost.name);
    machines.remove(lost.name);
    for (int i = 0; i < 600; i++) {
      try {
        if (caller.status(name).votingMembers().contains(name)) {
          caller.removeMember(lost.name, 20_000);
          return;
        }
      } catch (IOException e) {
        // Not up yet.
      }
      Thread.sleep(50);
    }
    broken.add(name + " never votes");
  }

  /** Each yes, asked again, is answered as before: it is there, and has no second entry. */
  private void verify(GroupClient caller, int run) throws Exception {
    for (int number = 0; number < CALLERS; number++) {
      for (int i = 0; i < CALLS; i++) {
        String id = "r" + run + "c" + number + "i" + i;
        CommandResult again =
            caller.propose(
                new Proposal(id, 1, new StateCommand.SetExclusion("another", true)), null, 30_000);
        if (again.index() != yes.getOrDefault(id, -1L)) {
          broken.add(id + " was " + yes.get(id) + " and is " + again.index());
        }
      }
    }
    if (caller.read(null, 30_000).excludedServers().contains("another")) {
      broken.add("a promise that was asked again had a second effect");
    }
    assertTrue(highestYes.get() >= (long) CALLERS * CALLS);
  }
}
