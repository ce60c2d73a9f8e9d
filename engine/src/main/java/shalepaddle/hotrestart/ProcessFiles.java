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
 * The files by which the processes of one node publish their state to each other, in a folder that
 * they share. Each process writes its own files and reads the others'; a file is replaced
 * atomically, by a rename.
 *
 * <p>No process waits for another. A file that cannot be read is skipped. Of a process that has
 * ended, or was silent for {@link #SILENT_MILLIS}, only the operators' exclusions count. Reads at
 * most {@link #MAX_FILES} files of {@link #MAX_FILE_BYTES} each. Thread-safe; all methods block for
 * the file system.
 */
public final class ProcessFiles {
  /** A process that lives writes its file several times in this. */
  static final long SILENT_MILLIS = 2000;

  private static final int MAX_FILES = 16;
  private static final long MAX_FILE_BYTES = 1 << 20;
  private static final String PREFIX = "shalepaddle-";
  private static final String SUFFIX = ".process";
  private static final String OBSERVATIONS_SUFFIX = ".seen";

  private final Path folder;
  private final long pid;
  private final LongSupplier wallMillis;
  private final LongPredicate isAlive;
  private final Consumer<String> log;
  private final List<String> loggedFailures = new ArrayList<>();

  /**
   * The files of one process.
   *
   * @param pid its own process id
   * @param wallMillis the time since 1970, as in the modification times of files
   * @param isAlive whether there is a process of that id
   * @param log receives one line for each new failure
   */
  public ProcessFiles(
      Path folder, long pid, LongSupplier wallMillis, LongPredicate isAlive, Consumer<String> log) {
    this.folder = folder;
    this.pid = pid;
    this.wallMillis = wallMillis;
    this.isAlive = isAlive;
    this.log = log;
  }

  private Path stateFile(long process) {
    return folder.resolve(PREFIX + process + SUFFIX);
  }

  private Path observationsFile(long process) {
    return folder.resolve(PREFIX + process + OBSERVATIONS_SUFFIX);
  }

  /** Publishes the state of this process; false, with a line in the log, if that fails. */
  public synchronized boolean publish(ProcessState state) {
    return replace(stateFile(pid), () -> StateFormat.write(state));
  }

  /** Publishes observations for a process that starts; false if that fails. */
  public synchronized boolean publishObservations(List<Observation> observations) {
    return replace(observationsFile(pid), () -> ObservationFormat.write(observations));
  }

  private interface Content {
    byte[] bytes() throws IOException;
  }

  private boolean replace(Path file, Content content) {
    Path next = folder.resolve(PREFIX + pid + ".next");
    try {
      byte[] bytes = content.bytes();
      if (bytes.length > MAX_FILE_BYTES) {
        throw new IOException(bytes.length + " bytes are too many");
      }
      Files.write(next, bytes);
      Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
      return true;
    } catch (IOException e) {
      logOnce("cannot tell other processes of this node: " + e);
      return false;
    }
  }

  /**
   * Reads and removes the observations that living processes have published: they are for one
   * start. Empty where none can be read.
   */
  public synchronized List<Observation> takeObservations() {
    List<Observation> all = new ArrayList<>();
    for (ProcessState partner : readOthers().partners()) {
      Path file = observationsFile(partner.pid());
      try {
        if (Files.exists(file) && Files.size(file) <= MAX_FILE_BYTES) {
          all.addAll(ObservationFormat.read(Files.readAllBytes(file)));
          Files.deleteIfExists(file);
        }
      } catch (FormatException e) {
        logOnce(file.getFileName() + ": " + e.getMessage());
      } catch (IOException e) {
        logOnce(file.getFileName() + ": " + e);
      }
    }
    return all;
  }

  /**
   * What the other processes have published.
   *
   * @param partners the state of those that live
   * @param exclusions operators' exclusions, also from processes that have ended
   */
  public record Others(List<ProcessState> partners, List<ServerExclusion> exclusions) {
    /** The newest list that a living process has, null if there is none. */
    public MemberList newestMemberList() {
      return partners.stream()
          .map(ProcessState::list)
          .filter(Objects::nonNull)
          .max(Comparator.comparingLong(MemberList::version))
          .orElse(null);
    }
  }

  /** Reads what the others have published; removes files of processes that have ended. */
  public synchronized Others readOthers() {
    List<ProcessState> partners = new ArrayList<>();
    List<ServerExclusion> exclusions = new ArrayList<>();
    try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, PREFIX + "*" + SUFFIX)) {
      int count = 0;
      for (Path file : files) {
        if (!file.equals(stateFile(pid)) && ++count <= MAX_FILES) {
          readOther(file, partners, exclusions);
        }
      }
    } catch (IOException e) {
      logOnce("cannot look for other processes of this node: " + e);
    }
    return new Others(partners, exclusions);
  }

  /** Reads one file, and adds to the lists what it contains. */
  private void readOther(Path file, List<ProcessState> partners, List<ServerExclusion> exclusions) {
    try {
      if (Files.size(file) > MAX_FILE_BYTES) {
        throw new FormatException("too long");
      }
      long silentMillis = wallMillis.getAsLong() - Files.getLastModifiedTime(file).toMillis();
      ProcessState state = StateFormat.read(Files.readAllBytes(file));
      exclusions.addAll(state.exclusions());
      if (!isAlive.test(state.pid())) {
        removeFilesOfEnded(file, state, silentMillis);
      } else if (silentMillis < SILENT_MILLIS) {
        partners.add(state);
      }
    } catch (FormatException e) {
      logOnce(file.getFileName() + ": " + e.getMessage());
    } catch (IOException e) {
      // Replaced or removed at this moment: it is read at the next poll.
    }
  }

  /**
   * Removes the files of a process that has ended; one with exclusions only when the other
   * processes have had time to read and publish them.
   */
  private void removeFilesOfEnded(Path file, ProcessState state, long silentMillis)
      throws IOException {
    Files.deleteIfExists(observationsFile(state.pid()));
    if (state.exclusions().isEmpty() || silentMillis > 2 * SILENT_MILLIS) {
      Files.deleteIfExists(file);
    }
  }

  /** Logs each failure once: a file that is unreadable now is unreadable at the next poll. */
  private void logOnce(String text) {
    if (loggedFailures.size() < MAX_FILES && !loggedFailures.contains(text)) {
      loggedFailures.add(text);
      log.accept(text);
    }
  }
}
