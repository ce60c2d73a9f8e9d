package shalepaddle.front;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.util.ArrayDeque;
import shalepaddle.diagnostics.Event;
import shalepaddle.engine.Dispatcher;
import shalepaddle.engine.Reply;

/**
 * The responses that are pending on one client's connection, and their writing in the order of the
 * commands. Owned by the connection, on the event loop.
 */
final class ResponseQueue {
  private final ClientHandler connection;
  private final ClientCodec codec;
  private final Dispatcher dispatcher;
  private final ArrayDeque<ResponseSlot> slots = new ArrayDeque<>();
  private Channel channel;

  /** Whether commands are being read: responses are flushed together once they have been. */
  private boolean isBatching;

  private boolean hasUnflushed;

  ResponseQueue(ClientHandler connection, ClientCodec codec, Dispatcher dispatcher) {
    this.connection = connection;
    this.codec = codec;
    this.dispatcher = dispatcher;
  }

  /** The channel to write to; called once, before anything else. */
  void setChannel(Channel channel) {
    this.channel = channel;
  }

  int size() {
    return slots.size();
  }

  boolean isEmpty() {
    return slots.isEmpty();
  }

  /** Adds the slot of the command that was read last. */
  ResponseSlot add() {
    ResponseSlot slot = new ResponseSlot(this);
    slots.add(slot);
    return slot;
  }

  boolean isFirst(ResponseSlot slot) {
    return slots.peek() == slot;
  }

  /** Whether responses still go out. */
  boolean isOpen() {
    return !connection.isClosing() && channel.isActive();
  }

  boolean isWritable() {
    return channel.isWritable();
  }

  /** Encodes a reply, and takes ownership of a value in it. */
  ByteBuf encode(String requestId, Reply reply) {
    return codec.encode(channel.alloc(), requestId, reply);
  }

  ByteBuf streamEnd() {
    return codec.encodeStreamEnd();
  }

  /** Writes bytes, which belong to the channel from here on. */
  void write(ByteBuf bytes) {
    channel.write(bytes, channel.voidPromise());
  }

  /** Writes and flushes bytes, which belong to the channel from here on. */
  void writeAndFlush(ByteBuf bytes) {
    channel.writeAndFlush(bytes, channel.voidPromise());
  }

  /** From now on responses wait for {@link #endBatch} to be flushed. */
  void beginBatch() {
    isBatching = true;
  }

  void endBatch() {
    isBatching = false;
    if (hasUnflushed) {
      hasUnflushed = false;
      channel.flush();
    }
  }

  /** The first response is complete: writes it, and those behind it that are complete. */
  void firstCompleted() {
    writeCompleted();
    if (isBatching) {
      hasUnflushed = true;
    } else {
      channel.flush();
      connection.updateStatus();
    }
  }

  private void writeCompleted() {
    for (ResponseSlot slot = slots.peek(); slot != null && slot.isComplete(); slot = slots.peek()) {
      write(slot.takeEncoded());
      slots.poll();
      if (slot.closesConnection()) {
        connection.close(Event.CLOSE_PROTOCOL_ERROR);
      }
    }
    ResponseSlot next = slots.peek();
    if (next != null && next.isStreamReady()) {
      next.startStream();
    }
    connection.updateReading();
  }

  /** Resumes or pauses the stream of the first response, by whether the channel is writable. */
  void writabilityChanged() {
    ResponseSlot first = slots.peek();
    if (first != null) {
      first.setReading(channel.isWritable());
    }
  }

  /** A value that the client has a part of will never be complete. */
  void streamFailed() {
    connection.abort(Event.CLOSE_VALUE_CUT_OFF);
  }

  /** A request got a second response, which is a fault of this node's. */
  void reportSecondResponse(ResponseSlot slot) {
    dispatcher.guard().answeredTwice(slot.requestId(), connection.name());
  }

  /** Reports a fault if this node is about to close the connection with requests unanswered. */
  void checkAnswered() {
    for (ResponseSlot slot : slots) {
      if (slot.isUnanswered()) {
        dispatcher.guard().closedUnanswered(slot.requestId(), connection.name());
      }
    }
  }

  /** The client has disconnected: discards pending responses and cancels their requests. */
  void disconnected() {
    for (ResponseSlot slot = slots.poll(); slot != null; slot = slots.poll()) {
      slot.discard();
      if (slot.submission() != null) {
        reportUnanswered(slot);
        dispatcher.clientDisconnected(slot.submission());
      }
    }
  }

  /** Logs the history of a request whose client has waited for long and left without an answer. */
  private void reportUnanswered(ResponseSlot slot) {
    long now = dispatcher.clock().now();
    if (slot.isPastBudget(now)) {
      dispatcher.guard().unanswered(slot.requestId(), connection.name());
    } else if (slot.isPastHalfBudget(now)) {
      dispatcher.log(
          () ->
              "event=request_unanswered request_id="
                  + slot.requestId()
                  + " connection="
                  + connection.name()
                  + " budget_ms="
                  + slot.budgetMillis()
                  + " history=["
                  + dispatcher.recorder().history(slot.requestId(), connection.name())
                  + "]");
    }
  }
}
