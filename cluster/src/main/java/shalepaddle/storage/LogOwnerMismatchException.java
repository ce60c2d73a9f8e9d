package shalepaddle.storage;

import java.io.IOException;

/** The directory belongs to another member, or to a member of another group. */
public final class LogOwnerMismatchException extends IOException {
  private static final long serialVersionUID = 1;

  LogOwnerMismatchException(String path, LogOwner expected, LogOwner actual) {
    super(
        ("%s belongs to member '%s' of group '%s', not to member '%s' of group '%s': specify the"
                + " folder of this member")
            .formatted(path, actual.member(), actual.group(), expected.member(), expected.group()));
  }
}
