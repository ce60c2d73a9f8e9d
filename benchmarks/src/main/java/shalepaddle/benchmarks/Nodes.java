package shalepaddle.benchmarks;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import picocli.CommandLine.Option;

/** The nodes that a measurement sets side by side, and the core on which each runs in its turn. */
final class Nodes {
  @Option(
      names = "--jar",
      paramLabel = "NAME=FOLDER",
      description = "A node: the root of a checkout that is built (default: now=the current one).")
  private Map<String, Path> jars = new LinkedHashMap<>(Map.of("now", Path.of("")));

  @Option(names = "--core", description = "The core they run on (default: ${DEFAULT-VALUE}).")
  private int core = 1;

  /** What they are called. */
  Set<String> names() {
    return jars.keySet();
  }

  /** All of them, to listen on this port and to know these servers. */
  List<Subject> subjects(int port, Servers servers) throws IOException {
    Path temporary = Files.createTempDirectory("nodes");
    List<Subject> subjects = new ArrayList<>();
    for (var jar : jars.entrySet()) {
      Path config = temporary.resolve(jar.getKey() + ".json");
      Files.writeString(config, Subject.config(port, servers));
      subjects.add(Subject.node(jar.getKey(), jar.getValue(), config));
    }
    return subjects;
  }

  /** Starts one, and returns once it listens on the port. */
  Subject.Running start(Subject subject, int port) throws IOException, InterruptedException {
    return subject.start(core, port);
  }
}
