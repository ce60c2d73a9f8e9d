package shalepaddle.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import shalepaddle.testkit.Traffic;

/** Runs a demo: a real node between stand-ins, under load, with optional faults. */
@Command(
    name = "try",
    description = {
      "Runs a real node on loopback between stand-in cache servers, their origin, discovery and"
          + " clients, and prints a line of results each second.",
      "The command needs no configuration. Ctrl-C ends it and prints the summary."
    },
    mixinStandardHelpOptions = true)
final class TryCommand implements Callable<Integer> {
  /** Number of requests in flight at which a server's bar is full. */
  private static final int FULL_BAR_REQUESTS = 16;

  private static final String BAR_CHARACTERS = " \u2581\u2582\u2583\u2584\u2585\u2586\u2587\u2588";

  /** Limits memory: each request is stored until the answers are checked at the end. */
  private static final int MAX_REQUESTS = 1_000_000;

  /** Limit on the wait for requests in flight after the load has stopped. */
  private static final long MAX_COMPLETION_WAIT_MILLIS = 4000;

  @Option(
      names = "--seconds",
      description = "Duration of the load in seconds (default: ${DEFAULT-VALUE}).")
  private int loadSeconds = 30;

  @Option(names = "--rate", description = "Requests per second (default: ${DEFAULT-VALUE}).")
  private double requestsPerSecond = 300;

  @Option(names = "--servers", description = "Cache servers (default: ${DEFAULT-VALUE}).")
  private int serverCount = 8;

  @Option(names = "--keys", description = "Number of keys (default: ${DEFAULT-VALUE}).")
  private int keyCount = 5000;

  @Option(
      names = "--skew",
      description = "Exponent of the Zipf distribution of keys (default: ${DEFAULT-VALUE}).")
  private double zipfExponent = 1;

  @Option(
      names = "--port",
      description = "Port on which the node listens (default: any free port).")
  private int port;

  @Option(
      names = "--kill",
      paramLabel = "SECOND",
      arity = "0..1",
      fallbackValue = "-1",
      description =
          "Second at which to kill a server (default: after a third of the time); it restarts cold"
              + " 3 s later.")
  private Integer killSecond;

  @Option(
      names = "--drain",
      paramLabel = "SECOND",
      arity = "0..1",
      fallbackValue = "-1",
      description =
          "Second at which to drain a server (default: after a third of the time); it shuts down"
              + " 4 s later.")
  private Integer drainSecond;

  @Option(
      names = "--slow-origin",
      paramLabel = "SECOND",
      arity = "0..1",
      fallbackValue = "-1",
      description =
          "Second from which the origin takes five times as long, for a third of the time (default:"
              + " after a third of the time).")
  private Integer slowOriginSecond;

  @Option(names = "--json", description = "Print JSON lines instead of text.")
  private boolean printsJson;

  @Spec private CommandSpec spec;

  private final CountDownLatch stopLatch = new CountDownLatch(1);
  private final CountDownLatch summaryLatch = new CountDownLatch(1);
  private volatile int exitCode;

  @Override
  public Integer call() throws Exception {
    requireArgument(loadSeconds > 0 && loadSeconds <= 86_400, "--seconds must be from 1 to 86400");
    requireArgument(
        requestsPerSecond > 0 && requestsPerSecond <= 100_000,
        "--rate must be above 0 and at most 100000");
    requireArgument(
        loadSeconds * requestsPerSecond <= MAX_REQUESTS,
        "--seconds times --rate must be at most " + MAX_REQUESTS);
    requireArgument(serverCount > 0 && serverCount <= 64, "--servers must be from 1 to 64");
    requireArgument(keyCount > 0, "--keys must be at least 1");
    requireArgument(zipfExponent >= 0, "--skew must be at least 0");
    requireArgument(port >= 0 && port < 1 << 16, "--port must be from 0 to 65535");
    Traffic traffic =
        new Traffic(
            requestsPerSecond,
            keyCount,
            zipfExponent,
            List.of(
                new Traffic.RequestClass("read", 0.93, false, false, 2000, 0),
                new Traffic.RequestClass("put", 0.07, true, false, 1000, 64)),
            0);
    EmbeddedDeployment embedded;
    try {
      embedded = new EmbeddedDeployment(serverCount, traffic, port);
    } catch (IOException e) {
      System.err.println("try: cannot listen on 127.0.0.1:" + port + ": " + e.getMessage());
      return 2;
    }
    Thread shutdownHook = new Thread(this::awaitSummary, "stop");
    Runtime.getRuntime().addShutdownHook(shutdownHook);
    try (embedded) {
      exitCode = runAndPrint(embedded);
    } finally {
      summaryLatch.countDown();
    }
    return exitCode;
  }

  private void requireArgument(boolean isValid, String message) {
    if (!isValid) {
      throw new ParameterException(spec.commandLine(), message);
    }
  }

  /**
   * Shutdown hook: after Ctrl-C, stops the load and waits until the summary is printed, then exits
   * with the run's exit code.
   */
  private void awaitSummary() {
    stopLatch.countDown();
    try {
      if (summaryLatch.getCount() > 0
          && summaryLatch.await(2 * MAX_COMPLETION_WAIT_MILLIS, TimeUnit.MILLISECONDS)) {
        System.out.flush();
        Runtime.getRuntime().halt(exitCode);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Returns the delay from the start of the load to a fault.
   *
   * @param second the second given by the option; a negative one stands for a third of the load
   */
  private long faultDelayMillis(int second) {
    return 1000L * (second >= 0 ? second : Math.max(1, loadSeconds / 3));
  }

  private int runAndPrint(EmbeddedDeployment embedded) throws Exception {
    PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
    if (killSecond != null) {
      embedded.killServer(1, faultDelayMillis(killSecond));
    }
    if (drainSecond != null) {
      embedded.drainServer(2, faultDelayMillis(drainSecond));
    }
    if (slowOriginSecond != null) {
      embedded.slowOrigin(
          5, faultDelayMillis(slowOriginSecond), Math.max(1000, 1000L * loadSeconds / 3));
    }
    embedded.startLoad(1000L * loadSeconds);
    EmbeddedDeployment.Sample previousSample = embedded.takeSample();
    for (int second = 1; second <= loadSeconds; second++) {
      if (stopLatch.await(1, TimeUnit.SECONDS)) {
        break;
      }
      EmbeddedDeployment.Sample currentSample = embedded.takeSample();
      out.println(
          printsJson
              ? formatSecondAsJson(second, previousSample, currentSample)
              : formatSecondAsText(second, previousSample, currentSample));
      previousSample = currentSample;
    }
    return stopAndSummarize(embedded, out);
  }

  private int stopAndSummarize(EmbeddedDeployment embedded, PrintStream out) throws Exception {
    embedded.stopLoad();
    for (long remainingMillis = MAX_COMPLETION_WAIT_MILLIS;
        remainingMillis > 0 && embedded.requestsInFlight() > 0;
        remainingMillis -= 20) {
      TimeUnit.MILLISECONDS.sleep(20);
    }
    List<String> violations = embedded.violations();
    EmbeddedDeployment.Sample finalSample = embedded.takeSample();
    out.println(
        printsJson
            ? formatSummaryAsJson(finalSample, violations)
            : formatSummaryAsText(finalSample, violations));
    return violations.isEmpty() ? 0 : 1;
  }

  private static double percent(int part, int total) {
    return total == 0 ? 0 : 100.0 * part / total;
  }

  private static Histogram latenciesSince(
      EmbeddedDeployment.Sample previousSample, EmbeddedDeployment.Sample currentSample) {
    Histogram latencies = currentSample.latencies().copy();
    latencies.subtract(previousSample.latencies());
    return latencies;
  }

  private static String formatSecondAsText(
      int second,
      EmbeddedDeployment.Sample previousSample,
      EmbeddedDeployment.Sample currentSample) {
    Histogram latencies = latenciesSince(previousSample, currentSample);
    int hits = currentSample.cacheHits() - previousSample.cacheHits();
    StringBuilder bars = new StringBuilder();
    for (EmbeddedDeployment.ServerSample server : currentSample.servers()) {
      int barLevel =
          Math.min(
              BAR_CHARACTERS.length() - 1,
              server.requestsInFlight() * (BAR_CHARACTERS.length() - 1) / FULL_BAR_REQUESTS);
      bars.append(
          server.state().equals("down")
              ? 'x'
              : server.requestsInFlight() > 0 && barLevel == 0
                  ? BAR_CHARACTERS.charAt(1)
                  : BAR_CHARACTERS.charAt(barLevel));
    }
    return String.format(
        Locale.ROOT,
        "%4d s  offered %5d/s  served %5d/s  hits %3.0f%%  p50 %6.1f ms  p99 %6.1f ms"
            + "  refused %4d  failed %4d  [%s]",
        second,
        currentSample.requests() - previousSample.requests(),
        currentSample.servedRequests() - previousSample.servedRequests(),
        percent(hits, hits + currentSample.cacheMisses() - previousSample.cacheMisses()),
        latencies.getValueAtPercentile(50) / 1e3,
        latencies.getValueAtPercentile(99) / 1e3,
        currentSample.refusedRequests() - previousSample.refusedRequests(),
        currentSample.failedRequests() - previousSample.failedRequests(),
        bars);
  }

  private static String formatSummaryAsText(
      EmbeddedDeployment.Sample finalSample, List<String> violations) {
    StringBuilder table = new StringBuilder("\n");
    appendRow(table, "offered", "%d", finalSample.requests());
    appendRow(
        table,
        "served",
        "%d  (%.2f%%)",
        finalSample.servedRequests(),
        percent(finalSample.servedRequests(), finalSample.requests()));
    appendRow(
        table,
        "refused",
        "%d  (%.2f%%)",
        finalSample.refusedRequests(),
        percent(finalSample.refusedRequests(), finalSample.requests()));
    appendRow(
        table,
        "failed",
        "%d  (%.2f%%)",
        finalSample.failedRequests(),
        percent(finalSample.failedRequests(), finalSample.requests()));
    appendRow(table, "no connection", "%d", finalSample.withoutConnection());
    appendRow(
        table,
        "hits",
        "%.1f%% of reads",
        percent(finalSample.cacheHits(), finalSample.cacheHits() + finalSample.cacheMisses()));
    appendRow(table, "origin fetches", "%d", finalSample.originFetches());
    Histogram latencies = finalSample.latencies();
    appendRow(
        table,
        "latency",
        "p50 %.1f ms, p90 %.1f ms, p99 %.1f ms, max %.1f ms",
        latencies.getValueAtPercentile(50) / 1e3,
        latencies.getValueAtPercentile(90) / 1e3,
        latencies.getValueAtPercentile(99) / 1e3,
        latencies.getMaxValue() / 1e3);
    for (EmbeddedDeployment.ServerSample server : finalSample.servers()) {
      appendRow(table, server.id(), "%d served, %s", server.servedRequests(), server.state());
    }
    appendRow(table, "rules broken", "%d", violations.size());
    violations.forEach(violation -> table.append("  ").append(violation).append('\n'));
    return table.toString().stripTrailing();
  }

  private static void appendRow(StringBuilder table, String name, String format, Object... values) {
    table.append(String.format(Locale.ROOT, "%-16s", name));
    table.append(String.format(Locale.ROOT, format, values)).append('\n');
  }

  private static String formatSecondAsJson(
      int second, EmbeddedDeployment.Sample previousSample, EmbeddedDeployment.Sample currentSample)
      throws IOException {
    StringWriter text = new StringWriter();
    try (JsonGenerator line = new JsonFactory().createGenerator(text)) {
      line.writeStartObject();
      line.writeNumberField("second", second);
      line.writeNumberField("offered", currentSample.requests() - previousSample.requests());
      line.writeNumberField(
          "served", currentSample.servedRequests() - previousSample.servedRequests());
      line.writeNumberField(
          "refused", currentSample.refusedRequests() - previousSample.refusedRequests());
      line.writeNumberField(
          "failed", currentSample.failedRequests() - previousSample.failedRequests());
      line.writeNumberField("hits", currentSample.cacheHits() - previousSample.cacheHits());
      line.writeNumberField("misses", currentSample.cacheMisses() - previousSample.cacheMisses());
      writeLatencies(line, latenciesSince(previousSample, currentSample));
      line.writeObjectFieldStart("in_flight");
      for (EmbeddedDeployment.ServerSample server : currentSample.servers()) {
        line.writeNumberField(server.id(), server.requestsInFlight());
      }
      line.writeEndObject();
      line.writeEndObject();
    }
    return text.toString();
  }

  private static String formatSummaryAsJson(
      EmbeddedDeployment.Sample finalSample, List<String> violations) throws IOException {
    StringWriter text = new StringWriter();
    try (JsonGenerator line = new JsonFactory().createGenerator(text)) {
      line.writeStartObject();
      line.writeObjectFieldStart("summary");
      line.writeNumberField("offered", finalSample.requests());
      line.writeNumberField("served", finalSample.servedRequests());
      line.writeNumberField("refused", finalSample.refusedRequests());
      line.writeNumberField("failed", finalSample.failedRequests());
      line.writeNumberField("no_connection", finalSample.withoutConnection());
      line.writeNumberField("hits", finalSample.cacheHits());
      line.writeNumberField("misses", finalSample.cacheMisses());
      line.writeNumberField("origin_fetches", finalSample.originFetches());
      writeLatencies(line, finalSample.latencies());
      line.writeArrayFieldStart("rules_broken");
      for (String violation : violations) {
        line.writeString(violation);
      }
      line.writeEndArray();
      line.writeEndObject();
      line.writeEndObject();
    }
    return text.toString();
  }

  private static void writeLatencies(JsonGenerator line, Histogram latencies) throws IOException {
    line.writeNumberField("p50_ms", latencies.getValueAtPercentile(50) / 1e3);
    line.writeNumberField("p99_ms", latencies.getValueAtPercentile(99) / 1e3);
  }
}
