package shalepaddle.cluster;

import java.io.IOException;

/** No member or no leader of a group was found, so the request was not sent and had no effect. */
public final class GroupUnavailableException extends IOException {
  private static final long serialVersionUID = 1;

  GroupUnavailableException(String reason) {
    super(reason);
  }
}
