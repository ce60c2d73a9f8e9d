package shalepaddle.hotrestart;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.LongPredicate;
import java.util.function.LongSupplier;
import shalepaddle.membership.MemberList;
import shalepaddle.model.Observation;
import shalepaddle.settings.FormatException;

/**
 * The files in a shared folder by which the processes of one node publish their state to each
 * other. Each process writes its own files and reads those of the others; a file is replaced
 * atomically, by a rename.
 *
 * <p>No process waits for another. A file that cannot be read is skipped. If a process has ended,
 * or has not written its file for {@link #MAX_SILENCE_MILLIS}, only its exclusions are used. At
 * most {@link #MAX_FILES} files of at most {@link #MAX_FILE_BYTES} are read. Thread-safe; all
 * methods block on the file system.
 */
public final class ProcessFiles {
  /** A process that has not written its file for this time is ignored; others write sooner. */
  static final long MAX_SILENCE_MILLIS = 2000;

  private static final int MAX_FILES = 16;
  private static final long MAX_FILE_BYTES = 1 << 20;
  private static final String FILE_PREFIX = "shalepaddle-";
  private static final String STATE_SUFFIX = ".process";
  private static final String OBSERVATIONS_SUFFIX = ".seen";

  private final Path folder;
  private final long pid;
  private final LongSupplier wallClockMillis;
  private final LongPredicate isAlive;
  private final Consumer<String> log;
  private final List<String> loggedFailures = new ArrayList<>();

  /**
   * Creates the files of one process.
   *
   * @param folder the folder that the processes share
   * @param pid the id of this process
   * @param wallClockMillis returns the wall-clock time in milliseconds since 1970, comparable with
   *     the modification times of files
   * @param isAlive returns whether a process with this id exists
   * @param log receives one line for each new failure
   */
  public ProcessFiles(
      Path folder,
      long pid,
      LongSupplier wallClockMillis,
      LongPredicate isAlive,
      Consumer<String> log) {
    this.folder = folder;
    this.pid = pid;
    this.wallClockMillis = wallClockMillis;
    this.isAlive = isAlive;
    this.log = log;
  }

  private Path stateFile(long processId) {
    return folder.resolve(FILE_PREFIX + processId + STATE_SUFFIX);
  }

  private Path observationsFile(long processId) {
    return folder.resolve(FILE_PREFIX + processId + OBSERVATIONS_SUFFIX);
  }

  /** Publishes the state of this process; logs a failure and returns false. */
  public synchronized boolean publish(ProcessState state) {
    return replaceFile(stateFile(pid), () -> StateFormat.write(state));
  }

  /** Publishes observations for a starting process; logs a failure and returns false. */
  public synchronized boolean publishObservations(List<Observation> observations) {
    return replaceFile(observationsFile(pid), () -> ObservationFormat.write(observations));
  }

  private interface Content {
    byte[] bytes() throws IOException;
  }

  private boolean replaceFile(Path file, Content content) {
    Path temporaryFile = folder.resolve(FILE_PREFIX + pid + ".next");
    try {
      byte[] bytes = content.bytes();
      if (bytes.length > MAX_FILE_BYTES) {
        throw new IOException(bytes.length + " bytes exceed the limit of " + MAX_FILE_BYTES);
      }
      Files.write(temporaryFile, bytes);
      Files.move(
          temporaryFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
      return true;
    } catch (IOException e) {
      logOnce("cannot publish to other processes of this node: " + e);
      return false;
    }
  }

  /**
   * Reads the observations that live processes have published, and removes their files: they are
   * published for a single starting process. Returns an empty list if no file can be read.
   */
  public synchronized List<Observation> takeObservations() {
    List<Observation> allObservations = new ArrayList<>();
    for (ProcessState other : readOthers().liveProcesses()) {
      Path file = observationsFile(other.pid());
      try {
        if (Files.exists(file) && Files.size(file) <= MAX_FILE_BYTES) {
          allObservations.addAll(ObservationFormat.read(Files.readAllBytes(file)));
          Files.deleteIfExists(file);
        }
      } catch (FormatException e) {
        logOnce(file.getFileName() + ": " + e.getMessage());
      } catch (IOException e) {
        logOnce(file.getFileName() + ": " + e);
      }
    }
    return allObservations;
  }

  /**
   * The data that the other processes have published.
   *
   * @param liveProcesses the states of the live processes
   * @param exclusions operators' exclusions, including those from processes that have ended
   */
  public record OtherProcesses(List<ProcessState> liveProcesses, List<ServerExclusion> exclusions) {
    /** The newest endpoint list of a live process, null if there is none. */
    public MemberList newestMemberList() {
      return liveProcesses.stream()
          .map(ProcessState::memberList)
          .filter(Objects::nonNull)
          .max(Comparator.comparingLong(MemberList::version))
          .orElse(null);
    }
  }

  /** Reads the files of the other processes; removes files of processes that have ended. */
  public synchronized OtherProcesses readOthers() {
    List<ProcessState> liveProcesses = new ArrayList<>();
    List<ServerExclusion> exclusions = new ArrayList<>();
    try (DirectoryStream<Path> files =
        Files.newDirectoryStream(folder, FILE_PREFIX + "*" + STATE_SUFFIX)) {
      int fileCount = 0;
      for (Path file : files) {
        if (!file.equals(stateFile(pid)) && ++fileCount <= MAX_FILES) {
          readStateFile(file, liveProcesses, exclusions);
        }
      }
    } catch (IOException e) {
      logOnce("cannot list the files of other processes of this node: " + e);
    }
    return new OtherProcesses(liveProcesses, exclusions);
  }

  /** Reads the state file of another process, and adds its content to the lists. */
  private void readStateFile(
      Path file, List<ProcessState> liveProcesses, List<ServerExclusion> exclusions) {
    try {
      if (Files.size(file) > MAX_FILE_BYTES) {
        throw new FormatException("longer than " + MAX_FILE_BYTES + " bytes");
      }
      long sinceWrittenMillis =
          wallClockMillis.getAsLong() - Files.getLastModifiedTime(file).toMillis();
      ProcessState state = StateFormat.read(Files.readAllBytes(file));
      exclusions.addAll(state.exclusions());
      if (!isAlive.test(state.pid())) {
        removeFilesOfEndedProcess(file, state, sinceWrittenMillis);
      } else if (sinceWrittenMillis < MAX_SILENCE_MILLIS) {
        liveProcesses.add(state);
      }
    } catch (FormatException e) {
      logOnce(file.getFileName() + ": " + e.getMessage());
    } catch (IOException e) {
      // The file is being replaced or removed; the next poll reads it.
    }
  }

  /**
   * Removes the files of a process that has ended. A file with exclusions is removed only after the
   * other processes have had time to read and publish them.
   */
  private void removeFilesOfEndedProcess(Path file, ProcessState state, long sinceWrittenMillis)
      throws IOException {
    Files.deleteIfExists(observationsFile(state.pid()));
    if (state.exclusions().isEmpty() || sinceWrittenMillis > 2 * MAX_SILENCE_MILLIS) {
      Files.deleteIfExists(file);
    }
  }

  /** Logs each failure once, since an unreadable file fails again at each poll. */
  private void logOnce(String message) {
    if (loggedFailures.size() < MAX_FILES && !loggedFailures.contains(message)) {
      loggedFailures.add(message);
      log.accept(message);
    }
  }
}
