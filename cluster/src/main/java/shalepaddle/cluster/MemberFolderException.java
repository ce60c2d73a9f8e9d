package shalepaddle.cluster;

import java.io.IOException;
import java.nio.file.Path;
import shalepaddle.storage.LogOwner;

/** A member can't be created or opened in a directory; the message gives the remedy. */
public final class MemberFolderException extends IOException {
  private static final long serialVersionUID = 1;

  private MemberFolderException(String message) {
    super(message);
  }

  /** No member was created there. */
  static MemberFolderException empty(Path folder) {
    return new MemberFolderException(
        folder
            + " holds no member: begin it with init where the group begins, and with join, under a"
            + " name that was never used, where a machine is new or has lost its disk");
  }

  /** A member was created there before. */
  static MemberFolderException occupied(Path folder, LogOwner owner) {
    return new MemberFolderException(
        "%s holds member '%s' of group '%s' already: nothing was changed"
            .formatted(folder, owner.member(), owner.group()));
  }

  /** The name of a member that joins is one of those with whom the group began. */
  static MemberFolderException initialMember(String name) {
    return new MemberFolderException(
        "'%s' is one of those with whom the group began, and may have voted: join under a new name"
            .formatted(name));
  }
}
