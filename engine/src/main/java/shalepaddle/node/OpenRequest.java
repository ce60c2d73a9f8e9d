package shalepaddle.node;

import java.util.ArrayList;
import java.util.List;

/** A request that this node has taken, from its last byte to its final answer and last outcome. */
final class OpenRequest {
  final MetaCommand command;
  final ClientHandler.Slot slot;
  final long deadlineNanos;
  final List<Attempt> attempts = new ArrayList<>(1);

  /** Attempts whose outcome the module has not been told. */
  int out;

  /** Whether the final answer is given, or the client has gone. */
  boolean ended;

  OpenRequest(MetaCommand command, ClientHandler.Slot slot, long deadlineNanos) {
    this.command = command;
    this.slot = slot;
    this.deadlineNanos = deadlineNanos;
  }

  String id() {
    return command.request.id();
  }
}
