package shalepaddle.cluster;

import java.io.IOException;
import java.nio.file.Path;
import shalepaddle.storage.LogOwner;

/** A member cannot be created or opened in a directory; the message gives the reason and remedy. */
public final class MemberFolderException extends IOException {
  private static final long serialVersionUID = 1;

  private MemberFolderException(String message) {
    super(message);
  }

  /** No member was created in the directory. */
  static MemberFolderException ofEmptyFolder(Path folder) {
    return new MemberFolderException(
        folder
            + " contains no member: create it with init if it is an initial member of a new group,"
            + " or with join under a name that was never used if the machine is new or has lost its"
            + " disk");
  }

  /** The directory already contains a member. */
  static MemberFolderException ofOccupiedFolder(Path folder, LogOwner owner) {
    return new MemberFolderException(
        "%s already contains member '%s' of group '%s': nothing was changed"
            .formatted(folder, owner.member(), owner.group()));
  }

  /** A member that joins has the name of an initial member. */
  static MemberFolderException ofInitialMember(String name) {
    return new MemberFolderException(
        "'%s' is an initial member of the group and may have voted: join under a new name"
            .formatted(name));
  }
}
