package shalepaddle.front;

import io.netty.buffer.ByteBuf;
import shalepaddle.diagnostics.Event;
import shalepaddle.engine.MemoryBudget;
import shalepaddle.engine.Reply;
import shalepaddle.engine.ValueSource;
import shalepaddle.loop.Timers;

/**
 * A response with a large value that is still being received. Once its first byte is written, the
 * connection can only be closed if the value breaks off, and the requests behind it stay without an
 * answer. So the value is held until it is complete; until then a failure is an answer like others.
 *
 * <p>Memory for all of the value is reserved before any of it is held. If none is free, or no more
 * time is left while bytes still come, the value is passed on as it arrives, unless a request is
 * behind it that must not run twice, or at its deadline one that was not read; with nothing behind
 * it, it is held for half of its request's time at most. No further command is handled until it is
 * complete. With such a request behind it, the value waits for memory as long as there is time, and
 * then fails, as does a value that has stopped to arrive while requests of any kind are behind it.
 *
 * <p>Owned by its {@link ResponseSlot}, on the event loop.
 */
final class LargeValueResponse implements ValueSource.Receiver {
  /** A value of which nothing has come for so long, in active time, has stopped to arrive. */
  private static final long MAX_PAUSE_NANOS = 250_000_000L;

  /** How long a value is held at most with nothing behind it: its first bytes are awaited. */
  private static final long MAX_HOLD_NANOS = 1_000_000_000L;

  /** What is done with the bytes of the value. */
  private enum State {
    /** None is received, since no memory is reserved. */
    WAITING_FOR_MEMORY,
    /** All are held: none is written yet. */
    HOLDING,
    /** They are written as fast as the client takes them. */
    WRITING,
    /** The response is complete, has failed, or is not needed any more. */
    ENDED
  }

  private final ResponseSlot slot;
  private final ResponseQueue responses;
  private final ValueSource source;
  private final MemoryBudget budget;
  private final HeldBytes heldBytes;
  private final int valueBytes;
  private State state = State.WAITING_FOR_MEMORY;
  private boolean isValueComplete;
  private boolean isHeldForLong;
  private boolean isOutOfTime;
  private int reservedBytes;
  private long receivedAtActiveNanos;

  /** The encoded bytes in front of the value, owned until they are written. */
  private ByteBuf head;

  /** Null if memory is reserved. */
  private MemoryBudget.PendingReservation pendingReservation;

  private Timers.Timer holdTimer;

  private Timers.Timer answerTimer;

  /** Creates a response; {@link #start} must be called next. Takes ownership of the head. */
  LargeValueResponse(
      ResponseSlot slot, ResponseQueue responses, ByteBuf head, Reply.Streamed reply) {
    this.slot = slot;
    this.responses = responses;
    this.head = head;
    this.source = reply.source();
    this.valueBytes = reply.valueBytes();
    this.budget = responses.heldValueBudget();
    this.heldBytes = new HeldBytes(head.alloc(), valueBytes);
  }

  /** Receives the value if memory is free, and otherwise waits for it. */
  void start() {
    holdTimer = responses.runNoLaterThan(slot.endOfHoldNanos(MAX_HOLD_NANOS), this::holdIsLong);
    answerTimer = responses.runNoLaterThan(slot.latestAnswerNanos(), this::timeIsUp);
    if (budget.reserve(valueBytes)) {
      hold();
    } else {
      pendingReservation =
          budget.reserveWhenFree(valueBytes, () -> responses.execute(this::memoryReserved));
      proceed();
    }
  }

  private void memoryReserved() {
    pendingReservation = null;
    if (state == State.WAITING_FOR_MEMORY) {
      hold();
    } else {
      budget.release(valueBytes);
    }
  }

  private void hold() {
    reservedBytes = valueBytes;
    state = State.HOLDING;
    source.start(this);
  }

  private void holdIsLong() {
    isHeldForLong = true;
    proceed();
  }

  private void timeIsUp() {
    isOutOfTime = true;
    proceed();
  }

  /**
   * Writes the value, or fails it, if the time has come. Called when all earlier ones are written.
   */
  void proceed() {
    if (!responses.isFirst(slot)) {
      return;
    }
    boolean isHolding = state == State.HOLDING;
    if (isHolding && isValueComplete) {
      beginWriting();
    } else if (state == State.WAITING_FOR_MEMORY || isHolding) {
      if (mayBeginIncomplete()) {
        beginWriting();
      } else if (isOutOfTime) {
        source.expire();
        fail();
      }
    }
  }

  private boolean mayBeginIncomplete() {
    boolean isHolding = state == State.HOLDING;
    if (!responses.hasRequestsBehind(slot)) {
      return !isHolding || isHeldForLong || isOutOfTime;
    }
    if (!isHolding) {
      return !responses.hasUnrepeatableBehind(slot);
    }
    boolean hasStopped = responses.activeNanos() - receivedAtActiveNanos > MAX_PAUSE_NANOS;
    return isOutOfTime
        && !hasStopped
        && !responses.hasUnhandledBytes()
        && !responses.hasUnrepeatableBehind(slot);
  }

  private void beginWriting() {
    boolean isStarted = state == State.HOLDING;
    state = State.WRITING;
    stopWaiting();
    responses.write(head);
    head = null;
    if (!isStarted) {
      source.start(this);
    }
    if (state == State.WRITING) {
      writeHeld();
      responses.updateReading();
    }
  }

  private void stopWaiting() {
    stopTimers();
    if (pendingReservation != null) {
      pendingReservation.withdraw();
    }
  }

  private void stopTimers() {
    holdTimer.cancel();
    answerTimer.cancel();
  }

  /** Whether the client has received a part of a value that may still break off. */
  boolean isAtRisk() {
    return state == State.WRITING && !isValueComplete;
  }

  @Override
  public void onChunk(ByteBuf bytes) {
    receivedAtActiveNanos = responses.activeNanos();
    if (state == State.WRITING && heldBytes.isEmpty()) {
      heldBytes.passedOn(bytes.readableBytes());
      responses.writeAndFlush(bytes);
    } else {
      heldBytes.add(bytes);
    }
    updateSource();
  }

  /** Called when the client takes bytes again, or takes none for now. */
  void writabilityChanged() {
    if (state == State.WRITING) {
      writeHeld();
    }
  }

  /** Writes held bytes as long as the client takes them, and ends the response after the last. */
  private void writeHeld() {
    while (state == State.WRITING && responses.isWritable() && !heldBytes.isEmpty()) {
      ByteBuf block = heldBytes.poll();
      int blockBytes = block.readableBytes();
      responses.writeAndFlush(block);
      release(Math.min(blockBytes, reservedBytes));
    }
    if (state == State.WRITING && heldBytes.isEmpty() && isValueComplete) {
      end();
      slot.streamCompleted();
    } else {
      updateSource();
    }
  }

  private void updateSource() {
    if (state == State.WRITING && !isValueComplete) {
      source.setReading(heldBytes.isEmpty() && responses.isWritable());
    }
  }

  @Override
  public void onComplete() {
    isValueComplete = true;
    if (state == State.WRITING) {
      writeHeld();
      responses.updateReading();
    } else {
      stopTimers();
      proceed();
    }
  }

  /** Answers the request as failed, unless a part of the value is written already. */
  @Override
  public void onFailure() {
    if (state == State.WRITING) {
      end();
      responses.streamFailed();
    } else {
      fail();
    }
  }

  private void fail() {
    end();
    slot.valueFailed();
    responses.record(Event.VALUE_NOT_COMPLETED, slot);
  }

  /** Releases all bytes and cancels the value after a client's disconnect. */
  void discard() {
    if (state == State.ENDED) {
      return;
    }
    boolean isCancelled = !isValueComplete;
    end();
    if (isCancelled) {
      source.cancel();
    }
  }

  private void end() {
    state = State.ENDED;
    stopWaiting();
    heldBytes.clear();
    release(reservedBytes);
    if (head != null) {
      head.release();
      head = null;
    }
  }

  private void release(int bytes) {
    reservedBytes -= bytes;
    budget.release(bytes);
  }
}
