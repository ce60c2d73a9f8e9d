package shalepaddle.cluster;

import java.io.IOException;
import java.util.Optional;
import shalepaddle.storage.FileLogDirectory;
import shalepaddle.storage.LogOwner;
import shalepaddle.storage.RaftLogStore;

/**
 * Creates and opens the directory of a member's log. A member is created once, by {@link
 * #initialize} if it is an initial member of the group and by {@link #prepareJoin} otherwise. An
 * empty directory is never opened: a machine that lost its disk must not vote under its old name
 * again, since it may have voted before.
 */
public final class MemberFolder {
  private MemberFolder() {}

  /**
   * Creates the directory of an initial member of a group.
   *
   * @throws IllegalArgumentException if the group cannot be created with these initial members
   * @throws MemberFolderException if the directory already contains a member
   * @throws IOException if the disk fails
   */
  public static void initialize(MemberConfig config) throws IOException {
    config.checkInitialMembers();
    create(config, true);
  }

  /**
   * Creates the directory of a member that joins an existing group.
   *
   * @throws MemberFolderException if the directory already contains a member, or the member has the
   *     name of an initial member
   * @throws IOException if the disk fails
   */
  public static void prepareJoin(MemberConfig config) throws IOException {
    if (config.initialMembers().containsKey(config.name())) {
      throw MemberFolderException.ofInitialMember(config.name());
    }
    create(config, false);
  }

  private static void create(MemberConfig config, boolean isInitialMember) throws IOException {
    try (FileLogDirectory directory = new FileLogDirectory(config.folder())) {
      Optional<LogOwner> owner = RaftLogStore.readOwner(directory);
      if (owner.isPresent()) {
        throw MemberFolderException.ofOccupiedFolder(config.folder(), owner.get());
      }
      // The constructor writes a header that records the member as the owner of the directory.
      RaftLogStore logStore = new RaftLogStore(directory, config.group(), config.name());
      if (isInitialMember) {
        logStore.initializeGroup(config.initialMembers().keySet());
      }
    }
  }

  /**
   * Opens a member's log.
   *
   * @return the log, which holds the lock of the directory until it is closed
   * @throws MemberFolderException if no member was created in the directory
   * @throws IOException as {@link RaftLogStore} does
   */
  static RaftLogStore open(MemberConfig config) throws IOException {
    FileLogDirectory directory = new FileLogDirectory(config.folder());
    try {
      if (RaftLogStore.readOwner(directory).isEmpty()) {
        throw MemberFolderException.ofEmptyFolder(config.folder());
      }
      return new RaftLogStore(directory, config.group(), config.name());
    } catch (IOException e) {
      directory.close();
      throw e;
    }
  }
}
