package shalepaddle.transport;

import static java.util.stream.Collectors.joining;

import java.io.IOException;
import java.util.stream.Stream;

/** A peer sent a message that has no place there in the protocol. The connection is closed. */
public final class UnexpectedMessageException extends IOException {
  private static final long serialVersionUID = 1;

  /**
   * With what was found.
   *
   * @param expected the kinds of frame that may come there
   */
  UnexpectedMessageException(Frame.Kind actual, Frame.Kind... expected) {
    super(
        "a frame of kind %s out of place, where %s is expected"
            .formatted(actual, Stream.of(expected).map(Frame.Kind::name).collect(joining(" or "))));
  }
}
