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
 * The files by which the processes of one node tell each other of themselves, in a folder that they
 * have in common. Each writes its own and reads the others'; a file is replaced whole, by a rename.
 *
 * <p>Nothing here waits for another process. A file that can not be read is passed over; one whose
 * process has gone, or has been silent for {@link #SILENT_MILLIS}, still tells of operators' words,
 * and of nothing else. Bounded to {@link #MAX_FILES} files of {@link #MAX_FILE_BYTES}. All methods
 * are for one thread at a time.
 */
public final class ProcessFiles {
  /** A living process writes its file several times in this. */
  static final long SILENT_MILLIS = 2000;

  private static final int MAX_FILES = 16;
  private static final long MAX_FILE_BYTES = 1 << 20;
  private static final String PREFIX = "shalepaddle-";
  private static final String SUFFIX = ".process";
  private static final String SEEN_SUFFIX = ".seen";

  private final Path folder;
  private final long pid;
  private final LongSupplier millis;
  private final LongPredicate alive;
  private final Consumer<String> log;
  private final List<String> complained = new ArrayList<>();

  /**
   * The files of one process.
   *
   * @param pid its own process id
   * @param millis the time since 1970, as files are stamped
   * @param alive whether there is a process of that id
   */
  public ProcessFiles(
      Path folder, long pid, LongSupplier millis, LongPredicate alive, Consumer<String> log) {
    this.folder = folder;
    this.pid = pid;
    this.millis = millis;
    this.alive = alive;
    this.log = log;
  }

  private Path file(long process) {
    return folder.resolve(PREFIX + process + SUFFIX);
  }

  private Path seen(long process) {
    return folder.resolve(PREFIX + process + SEEN_SUFFIX);
  }

  /** Tells the others; false, with a line in the log, if that fails. */
  public synchronized boolean publish(ProcessState state) {
    return replace(file(pid), () -> StateFormat.write(state));
  }

  /** Tells a process that starts what this one has seen; false if that fails. */
  public synchronized boolean publishObservations(List<Observation> seen) {
    return replace(seen(pid), () -> ObservationFormat.write(seen));
  }

  private interface Form {
    byte[] write() throws IOException;
  }

  private boolean replace(Path own, Form form) {
    Path next = folder.resolve(PREFIX + pid + ".next");
    try {
      byte[] bytes = form.write();
      if (bytes.length > MAX_FILE_BYTES) {
        throw new IOException(bytes.length + " bytes are too many");
      }
      Files.write(next, bytes);
      Files.move(next, own, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
      return true;
    } catch (IOException e) {
      complain("cannot tell other processes of this node: " + e);
      return false;
    }
  }

  /**
   * What living processes have seen, and removes what they have told of it: it is for one start.
   * Empty where nothing can be read; nobody waits for it.
   */
  public synchronized List<Observation> takeObservations() {
    List<Observation> all = new ArrayList<>();
    for (ProcessState partner : readOthers().partners()) {
      Path file = seen(partner.pid());
      try {
        if (Files.exists(file) && Files.size(file) <= MAX_FILE_BYTES) {
          all.addAll(ObservationFormat.read(Files.readAllBytes(file)));
          Files.deleteIfExists(file);
        }
      } catch (FormatException e) {
        complain(file.getFileName() + ": " + e.getMessage());
      } catch (IOException e) {
        complain(file.getFileName() + ": " + e);
      }
    }
    return all;
  }

  /**
   * What the others have told.
   *
   * @param partners those that live
   * @param exclusions operators' words, also of those that have gone
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

  /** Reads what the others have told; files of processes that have gone are removed. */
  public synchronized Others readOthers() {
    List<ProcessState> partners = new ArrayList<>();
    List<ServerExclusion> words = new ArrayList<>();
    try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, PREFIX + "*" + SUFFIX)) {
      int count = 0;
      for (Path file : files) {
        if (file.equals(file(pid)) || ++count > MAX_FILES) {
          continue;
        }
        try {
          if (Files.size(file) > MAX_FILE_BYTES) {
            throw new FormatException("too long");
          }
          long silent = millis.getAsLong() - Files.getLastModifiedTime(file).toMillis();
          ProcessState state = StateFormat.read(Files.readAllBytes(file));
          words.addAll(state.exclusions());
          if (!alive.test(state.pid())) {
            gone(file, state, silent);
          } else if (silent < SILENT_MILLIS) {
            partners.add(state);
          }
        } catch (FormatException e) {
          complain(file.getFileName() + ": " + e.getMessage());
        } catch (IOException e) {
          // Replaced or removed in this very moment: it is read next time.
        }
      }
    } catch (IOException e) {
      complain("cannot look for other processes of this node: " + e);
    }
    return new Others(partners, words);
  }

  /** Its words are known here from now on, and told on. */
  private void gone(Path file, ProcessState state, long silent) throws IOException {
    Files.deleteIfExists(seen(state.pid()));
    if (state.exclusions().isEmpty() || silent > 2 * SILENT_MILLIS) {
      Files.deleteIfExists(file);
    }
  }

  /** Once for each complaint: what can't be read now can't be read 50 ms later. */
  private void complain(String text) {
    if (complained.size() < MAX_FILES && !complained.contains(text)) {
      complained.add(text);
      log.accept(text);
    }
  }
}
