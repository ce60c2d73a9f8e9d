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

/** Command-line options for the nodes that a measurement compares, and for their core. */
final class NodeOptions {
  @Option(
      names = "--jar",
      paramLabel = "NAME=FOLDER",
      description =
          "A node to measure: a name, and the root of a built checkout"
              + " (default: the current directory, named now).")
  private Map<String, Path> foldersByNodeName = new LinkedHashMap<>(Map.of("now", Path.of("")));

  @Option(names = "--core", description = "The core that nodes run on (default: ${DEFAULT-VALUE}).")
  private int core = 1;

  /** Returns the names of the nodes. */
  Set<String> names() {
    return foldersByNodeName.keySet();
  }

  /** Returns all nodes, configured to listen on this port and to use these servers. */
  List<MeasuredProcess> processes(int port, StubCacheServers servers) throws IOException {
    Path directory = Files.createTempDirectory("nodes");
    List<MeasuredProcess> processes = new ArrayList<>();
    for (var nodeFolder : foldersByNodeName.entrySet()) {
      Path configFile = directory.resolve(nodeFolder.getKey() + ".json");
      Files.writeString(configFile, MeasuredProcess.createNodeConfig(port, servers));
      processes.add(
          MeasuredProcess.nodeProcess(nodeFolder.getKey(), nodeFolder.getValue(), configFile));
    }
    return processes;
  }

  /** Starts a node, and returns once it listens on the port. */
  MeasuredProcess.RunningProcess start(MeasuredProcess process, int port)
      throws IOException, InterruptedException {
    return process.start(core, port);
  }
}
