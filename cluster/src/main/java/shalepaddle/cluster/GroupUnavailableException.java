package shalepaddle.cluster;

import java.io.IOException;

/** No member of a group could be asked, or none that leads; the request had no effect. */
public final class GroupUnavailableException extends IOException {
  private static final long serialVersionUID = 1;

  GroupUnavailableException(String reason) {
    super(reason);
  }
}
