package shalepaddle.transport;

import static java.util.stream.Collectors.joining;

import java.io.IOException;
import java.util.stream.Stream;

/**
 * A peer sent a frame of a kind that the protocol does not allow there. Its connection is closed.
 */
public final class UnexpectedMessageException extends IOException {
  private static final long serialVersionUID = 1;

  /**
   * Creates an exception for a frame.
   *
   * @param actual the kind of the received frame
   * @param expected the kinds of frames that the protocol allows there
   */
  UnexpectedMessageException(Frame.Kind actual, Frame.Kind... expected) {
    super(
        "unexpected frame of kind %s, expected %s"
            .formatted(actual, Stream.of(expected).map(Frame.Kind::name).collect(joining(" or "))));
  }
}
