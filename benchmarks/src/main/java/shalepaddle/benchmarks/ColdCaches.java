package shalepaddle.benchmarks;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.HdrHistogram.Histogram;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import shalepaddle.testkit.EffectLog;
import shalepaddle.testkit.LoopbackTransport;
import shalepaddle.testkit.ServerModel;
import shalepaddle.testkit.StandInClients;
import shalepaddle.testkit.StandInOrigin;
import shalepaddle.testkit.StandInServer;
import shalepaddle.testkit.Traffic;

/**
 * What joining like reads spares the origin where caches are cold and popular keys are written: a
 * node without it and one with it, in turns, each with servers that have just started.
 */
@Command(
    name = "cold-caches",
    description = "Measures fetches from the origin with and without joining, caches cold.",
    mixinStandardHelpOptions = true)
final class ColdCaches implements Callable<Integer> {
  private static final int SERVERS = 8;

  @Option(names = "--rounds", description = "Turns of each (default: ${DEFAULT-VALUE}).")
  private int rounds = 5;

  @Option(names = "--seconds", description = "Measured in each turn (default: ${DEFAULT-VALUE}).")
  private int seconds = 6;

  @Option(names = "--rate", description = "Requests a second (default: ${DEFAULT-VALUE}).")
  private double rate = 800;

  @Option(names = "--keys", description = "Different keys (default: ${DEFAULT-VALUE}).")
  private int keys = 2000;

  @Option(names = "--skew", description = "Zipf's exponent (default: ${DEFAULT-VALUE}).")
  private double skew = 1;

  @Option(names = "--writes", description = "The part of writes (default: ${DEFAULT-VALUE}).")
  private double writes = 0.02;

  @Option(
      names = "--origin-workers",
      description = "What the origin does at once, 60 ms each (default: ${DEFAULT-VALUE}).")
  private int workers = 12;

  @Option(names = "--core", description = "The node's core (default: ${DEFAULT-VALUE}).")
  private int core = 1;

  @Option(names = "--picture", paramLabel = "FILE", description = "Draws it, as a PNG.")
  private Path picture;

  /** One turn. */
  private record Turn(
      int asked, int served, int refused, int failed, int fetches, double p50, double p99) {}

  private final Map<String, List<Turn>> turns = new LinkedHashMap<>();

  @Override
  public Integer call() throws Exception {
    Path temporary = Files.createTempDirectory("cold-caches");
    Path joining = temporary.resolve("joining.toml");
    Files.writeString(joining, "[joining]\njoin = true\n");
    for (int round = 1; round <= rounds; round++) {
      turn(round, "alone", temporary, null);
      turn(round, "joined", temporary, joining);
    }
    summary();
    if (picture != null) {
      draw();
    }
    return 0;
  }

  private void turn(int round, String name, Path temporary, Path operator) throws Exception {
    var group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    EventLoop loop = group.next();
    LoopbackTransport wire = LoopbackTransport.sockets(loop);
    EffectLog ledger = new EffectLog();
    StandInOrigin origin = new StandInOrigin(wire, round, workers, 0.06);
    List<StandInServer> fleet = new ArrayList<>();
    try {
      for (int i = 0; i < SERVERS; i++) {
        new StandInServer(wire, "s" + i, "a", ServerModel.usual(), origin, ledger, fleet, i)
            .start()
            .sync();
      }
      int port = Subject.freePort();
      Path config = temporary.resolve(name + ".json");
      List<Integer> ports =
          fleet.stream().map(each -> Integer.parseInt(each.address().split(":", 0)[1])).toList();
      Files.writeString(config, Subject.config(port, ports));
      String[] further =
          operator == null ? new String[0] : new String[] {"--operator", operator.toString()};
      try (Subject.Running running =
          Subject.node(name, Path.of(""), config, further).start(core, port)) {
        Turn turn = ask(wire, loop, ledger, origin, port, round, operator != null);
        turns.computeIfAbsent(name, n -> new ArrayList<>()).add(turn);
        System.out.printf(
            "round %d  %-6s asked %d  served %d  refused %d  failed %d  fetches %d"
                + "  p50 %.0f ms  p99 %.0f ms  %.1f MB%n",
            round,
            name,
            turn.asked(),
            turn.served(),
            turn.refused(),
            turn.failed(),
            turn.fetches(),
            turn.p50(),
            turn.p99(),
            running.residentMegabytes());
      }
      loop.submit(() -> fleet.forEach(StandInServer::kill)).sync();
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
  }

  private Turn ask(
      LoopbackTransport wire,
      EventLoop loop,
      EffectLog ledger,
      StandInOrigin origin,
      int port,
      int round,
      boolean joins)
      throws Exception {
    Traffic traffic =
        new Traffic(
            rate,
            keys,
            skew,
            List.of(
                new Traffic.RequestClass("read", 1 - writes, false, false, 2000, 0),
                new Traffic.RequestClass("put", writes, true, false, 1000, 20)),
            0);
    StandInClients clients = new StandInClients(wire, ledger, traffic, 50, 900, 100 + round);
    if (joins) {
      clients.mayShareAnswers();
    }
    loop.submit(
            () -> {
              clients.add("node", new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
              clients.run(seconds * 1000L);
            })
        .sync();
    TimeUnit.MILLISECONDS.sleep(seconds * 1000L + 2500);
    return loop.submit(
            () -> {
              clients.breaches().forEach(breach -> System.out.println("BREACH " + breach));
              Histogram micros = clients.latencies();
              Turn turn =
                  new Turn(
                      clients.asked(),
                      clients.served(),
                      clients.refused(),
                      clients.failed(),
                      origin.fetches(),
                      micros.getValueAtPercentile(50) / 1e3,
                      micros.getValueAtPercentile(99) / 1e3);
              clients.close();
              return turn;
            })
        .get();
  }

  private void summary() {
    System.out.println();
    turns.forEach(
        (name, own) ->
            System.out.printf(
                "%-6s fetches %s   p99 ms %s   served of 1000 %s%n",
                name,
                spread(own, Turn::fetches),
                spread(own, Turn::p99),
                spread(own, turn -> 1e3 * turn.served() / turn.asked())));
    List<Turn> alone = turns.get("alone");
    List<Turn> joined = turns.get("joined");
    List<Double> ratios = new ArrayList<>();
    for (int i = 0; i < rounds; i++) {
      ratios.add((double) joined.get(i).fetches() / alone.get(i).fetches());
    }
    System.out.printf(
        "fetches with joining, of those without, by rounds: %s%n",
        ratios.stream().sorted().map("%.3f"::formatted).toList());
  }

  private static String spread(List<Turn> turns, ToDoubleFunction<Turn> figure) {
    return Figures.spread(turns.stream().mapToDouble(figure).boxed().toList(), "%.0f");
  }

  private void draw() throws Exception {
    CategoryChart fetches = chart("Fetches from the origin", Turn::fetches);
    CategoryChart late = chart("99th percentile of answers, ms", Turn::p99);
    BitmapEncoder.saveBitmap(
        List.of(fetches, late), 1, 2, picture.toString(), BitmapEncoder.BitmapFormat.PNG);
    System.out.println("drawn: " + picture);
  }

  private CategoryChart chart(String title, ToDoubleFunction<Turn> figure) {
    CategoryChart chart =
        new CategoryChartBuilder().width(560).height(380).title(title).xAxisTitle("round").build();
    List<Integer> numbers = new ArrayList<>();
    for (int i = 1; i <= rounds; i++) {
      numbers.add(i);
    }
    turns.forEach(
        (name, own) ->
            chart.addSeries(name, numbers, own.stream().map(figure::applyAsDouble).toList()));
    return chart;
  }
}
