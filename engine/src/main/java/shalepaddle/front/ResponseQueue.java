package shalepaddle.front;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.util.ArrayDeque;
import shalepaddle.diagnostics.Event;
import shalepaddle.engine.ClientPresence;
import shalepaddle.engine.Dispatcher;
import shalepaddle.engine.MemoryBudget;
import shalepaddle.engine.Reply;
import shalepaddle.loop.Timers;

/**
 * The pending responses of one client's connection, which are written in the order of the commands.
 * Owned by the connection, on the event loop.
 */
final class ResponseQueue {
  private final ClientHandler connection;
  private final ClientCodec codec;
  private final Dispatcher dispatcher;
  private final ArrayDeque<ResponseSlot> slots = new ArrayDeque<>();
  private final WriteProgress writeProgress;
  private final ResponseMemory memory;
  private final MemoryBudget heldValueBudget;
  private Channel channel;

  /** Whether commands are being read: their responses are flushed together afterwards. */
  private boolean isBatching;

  private boolean hasUnflushed;

  /** Whether complete responses are being written: that changes the channel's writability. */
  private boolean isWriting;

  ResponseQueue(
      ClientHandler connection,
      ClientCodec codec,
      Dispatcher dispatcher,
      WriteProgress writeProgress,
      ResponseMemory memory,
      MemoryBudget heldValueBudget) {
    this.writeProgress = writeProgress;
    this.memory = memory;
    this.heldValueBudget = heldValueBudget;
    this.connection = connection;
    this.codec = codec;
    this.dispatcher = dispatcher;
  }

  /** Sets the channel to write to. Called once, before all other methods. */
  void setChannel(Channel channel) {
    this.channel = channel;
    memory.setChannel(channel);
  }

  int size() {
    return slots.size();
  }

  boolean isEmpty() {
    return slots.isEmpty();
  }

  /** Adds a slot for the command that was read last. */
  ResponseSlot add() {
    ResponseSlot slot = new ResponseSlot(this);
    slots.add(slot);
    return slot;
  }

  boolean isFirst(ResponseSlot slot) {
    return slots.peek() == slot;
  }

  /** Whether responses can still be written. */
  boolean isOpen() {
    return !connection.isClosing() && channel.isActive();
  }

  ClientPresence clientPresence(long now) {
    return connection.clientPresence(now);
  }

  boolean isWritable() {
    return channel.isWritable();
  }

  /** Encodes a reply and takes ownership of a value in it. */
  ByteBuf encode(String requestId, Reply reply) {
    return codec.encode(channel.alloc(), requestId, reply);
  }

  ByteBuf encodeStreamEnd() {
    return codec.encodeStreamEnd();
  }

  /** Writes bytes and passes their ownership to the channel. */
  void write(ByteBuf bytes) {
    writeProgress.onWrite(bytes.readableBytes());
    channel.write(bytes, channel.voidPromise());
  }

  /** Writes and flushes bytes and passes their ownership to the channel. */
  void writeAndFlush(ByteBuf bytes) {
    writeProgress.onWrite(bytes.readableBytes());
    channel.writeAndFlush(bytes, channel.voidPromise());
    memory.updateUnsent();
  }

  /** Delays the flush of responses until {@link #endBatch}. */
  void beginBatch() {
    isBatching = true;
  }

  void endBatch() {
    isBatching = false;
    if (hasUnflushed) {
      hasUnflushed = false;
      channel.flush();
      memory.updateUnsent();
    }
  }

  /** Writes the first response, which is complete, and the complete responses that follow it. */
  void firstCompleted() {
    writeCompleted();
    if (isBatching) {
      hasUnflushed = true;
    } else {
      channel.flush();
      memory.updateUnsent();
      connection.updateStatus();
    }
  }

  /** Writes complete responses as long as the client takes them; the others wait in their slots. */
  private void writeCompleted() {
    isWriting = true;
    try {
      for (ResponseSlot slot = slots.peek();
          slot != null && slot.isComplete() && hasSpace();
          slot = slots.peek()) {
        write(slot.takeEncoded());
        slots.poll();
        if (slot.closesConnection()) {
          connection.close(Event.CLOSE_PROTOCOL_ERROR);
        }
      }
    } finally {
      isWriting = false;
    }
    ResponseSlot nextSlot = slots.peek();
    if (nextSlot != null && !nextSlot.isComplete()) {
      nextSlot.becameFirst();
    }
    connection.updateReading();
  }

  private boolean hasSpace() {
    if (!channel.isWritable()) {
      channel.flush();
    }
    return channel.isWritable();
  }

  /** Continues to write when the client takes bytes again. */
  void writabilityChanged() {
    memory.updateUnsent();
    ResponseSlot firstSlot = slots.peek();
    if (firstSlot == null || isWriting) {
      return;
    }
    if (!firstSlot.isComplete()) {
      firstSlot.writabilityChanged();
    } else if (channel.isWritable()) {
      firstCompleted();
    }
  }

  /** The memory for responses that wait or are not sent. */
  ResponseMemory memory() {
    return memory;
  }

  /** Whether a response need not wait, as far as known. */
  boolean isWrittenAtOnce(ResponseSlot slot) {
    return isFirst(slot) && !writeProgress.hasUnsentBytes() && !memory.isOverdrawn();
  }

  /** Whether memory is too short to handle commands behind a pending response. */
  boolean isMemoryShort() {
    return !slots.isEmpty() && memory.isShort();
  }

  /** The memory for large values that are not complete yet or wait for their turn. */
  MemoryBudget heldValueBudget() {
    return heldValueBudget;
  }

  /** Whether requests wait for the end of a response, read or unread, complete or not. */
  boolean hasRequestsBehind(ResponseSlot slot) {
    return slots.peekLast() != slot || hasUnhandledBytes();
  }

  /** Whether commands of any kind may wait unread, whole or in part. */
  boolean hasUnhandledBytes() {
    return connection.hasUnhandledBytes();
  }

  /** Whether a request that must not run twice waits for the end of a response. */
  boolean hasUnrepeatableBehind(ResponseSlot slot) {
    boolean isBehind = false;
    for (ResponseSlot other : slots) {
      if (isBehind && other.submission() != null && !dispatcher.mayBeRepeated(other.submission())) {
        return true;
      }
      isBehind |= other == slot;
    }
    return false;
  }

  /** The present time, by the loop's clock. */
  long now() {
    return dispatcher.clock().now();
  }

  /** The event loop's active time, see {@link shalepaddle.loop.LoopClock#activeNanos}. */
  long activeNanos() {
    return dispatcher.clock().activeNanos();
  }

  /** Whether the client has received a part of a value that may still break off. */
  boolean isValueAtRisk() {
    ResponseSlot firstSlot = slots.peek();
    return firstSlot != null && firstSlot.isValueAtRisk();
  }

  void updateReading() {
    connection.updateReading();
  }

  /** When a request must be answered, by the loop's clock. */
  long latestAnswerNanos(long arrivalNanos, long budgetNanos) {
    return dispatcher.latestAnswerNanos(arrivalNanos, budgetNanos);
  }

  /** Runs a task no later than the given time, by the loop's clock. */
  Timers.Timer runNoLaterThan(long nanos, Runnable task) {
    return dispatcher.timers().runNoLaterThan(nanos - now(), task);
  }

  /** Runs a task of the event loop after the present one. */
  void execute(Runnable task) {
    channel.eventLoop().execute(task);
  }

  /** Records an event of a response's request. */
  void record(Event event, ResponseSlot slot) {
    dispatcher.recorder().record(event, slot.requestId());
  }

  /** Aborts the connection, since the client has received only a part of a value. */
  void streamFailed() {
    connection.abort(Event.CLOSE_VALUE_CUT_OFF);
  }

  /** Reports a second response to a request, which is a bug of this node. */
  void reportSecondResponse(ResponseSlot slot) {
    dispatcher.guard().reportAnsweredTwice(slot.requestId(), connection.name());
  }

  /** Reports the unanswered requests of a connection that this node is about to close. */
  void checkAnswered() {
    for (ResponseSlot slot : slots) {
      if (slot.isUnanswered()) {
        dispatcher.guard().reportClosedUnanswered(slot.requestId(), connection.name());
      }
    }
  }

  /** Discards pending responses and cancels their requests after a client's disconnect. */
  void discardAll() {
    for (ResponseSlot slot = slots.poll(); slot != null; slot = slots.poll()) {
      slot.discard();
      if (slot.submission() != null) {
        reportUnanswered(slot);
        dispatcher.clientDisconnected(slot.submission());
      }
    }
    memory.updateUnsent();
  }

  /** Logs a request whose client waited for over half its time budget and disconnected. */
  private void reportUnanswered(ResponseSlot slot) {
    long now = dispatcher.clock().now();
    if (slot.isPastBudget(now)) {
      dispatcher.guard().reportUnanswered(slot.requestId(), connection.name());
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
