package shalepaddle.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import shalepaddle.diagnostics.Event;
import shalepaddle.diagnostics.FlightRecorder;
import shalepaddle.engine.Call;
import shalepaddle.engine.Dispatcher;
import shalepaddle.engine.Reply;
import shalepaddle.engine.ReplySink;
import shalepaddle.engine.Submission;
import shalepaddle.engine.ValueSource;
import shalepaddle.loop.LoopClock;
import shalepaddle.overload.RetryStormDetector;

/** A client's connection: takes its commands and gives the answers in their order. */
final class ClientHandler extends ChannelInboundHandlerAdapter {
  /** Errors after which a connection is closed: its client does not speak the protocol. */
  private static final int MAX_ERRORS = 8;

  /**
   * How long nothing is read from a client after an error. Guards against one that repeats what was
   * turned down at full speed, and takes the node's core from the others; a usual client makes
   * none.
   */
  private static final long PENALTY_MILLIS = 250;

  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * How long before its answer is due a command is delivered that waits in a pause of reading: the
   * node then has time to reject it.
   */
  private static final long DELIVERY_MARGIN_NANOS = 5_000_000L;

  /**
   * How long a pause of reading lasts at most once all that may be buffered has come: what waits
   * behind that in the socket has deadlines that are not known.
   */
  private static final long UNSEEN_NANOS = 50_000_000L;

  /** How long a client may read nothing of what waits for it. */
  private static final long MAX_STALL_NANOS = 10_000_000_000L;

  /**
   * How long nothing is read from a client that was told to leave: what it sends before it can have
   * heard of that crosses the end.
   */
  private static final long CROSSING_MILLIS = 100;

  private final Dispatcher dispatcher;
  private final FlightRecorder recorder;

  /** Names this connection in the history of its requests. */
  private final String name;

  private final LoopClock clock;
  private final ClientConnections connections;
  private final ClientCodec codec;
  private final ClientCodec.CommandDecoder decoder;
  private final InboundBuffer inbound;
  private final ArrayDeque<Slot> slots = new ArrayDeque<>();
  private Channel channel;
  private ClientConnections.Standing standing;
  private long stalledSince;

  /** When bytes came last, in time in which the event loop listened. */
  private long heardAt;

  /** Whether a command was left to be read to its end though its time was up. */
  private boolean spared;

  private final FairReadScheduler turns;
  private final FairReadScheduler.Count sent = new FairReadScheduler.Count();
  private final RetryStormDetector insistence = new RetryStormDetector();
  private int errors;

  /** For errors, for having sent the most, or for coming again too soon. */
  private final ReadPause readPause = new ReadPause();

  /** The alarm for the end of the pause, null before the first. */
  private Future<?> resumption;

  /**
   * Whether bytes are being read, of which not all have been looked at: answers go out together.
   */
  private boolean reading;

  private boolean unflushed;

  /** Why reading was suspended when that was looked at last. */
  private boolean owedTooMany;

  private boolean wasUnwritable;
  private boolean used;
  private boolean closing;

  /** Whether all is answered and the sending end is closed, so that the client leaves. */
  private boolean leaving;

  /** Whether what comes may cross the end of its sending end. */
  private boolean crossing;

  /** Whether nothing more is read, and the connection ends once what was read is answered. */
  private boolean lastCall;

  ClientHandler(
      Dispatcher dispatcher,
      ClientConnections connections,
      ClientCodec codec,
      InboundBuffer inbound,
      ClientCodec.CommandDecoder decoder,
      FairReadScheduler turns) {
    this.turns = turns;
    this.inbound = inbound;
    this.codec = codec;
    this.dispatcher = dispatcher;
    this.recorder = dispatcher.recorder();
    this.name = connections.nextName();
    this.clock = dispatcher.clock();
    this.connections = connections;
    this.decoder = decoder;
  }

  /** The place of one answer in the order of a connection's answers. */
  final class Slot implements ReplySink, ValueSource.Receiver {
    private Submission request;
    private String id;
    private long readAt;

    /** The earliest time at which its last byte can have arrived. */
    private long arrival;

    private long budgetNanos;

    /** Bytes that wait for the answers before them, null if there are none. */
    private ByteBuf waiting;

    private boolean given;
    private boolean last;

    /** A large value that is its answer, null if there is none or it is over. */
    private ValueSource source;

    @Override
    public boolean acceptsStream() {
      return true;
    }

    @Override
    public void reply(Reply reply) {
      if (reply instanceof Reply.Streamed pieces) {
        pieces(pieces);
        return;
      }
      whole(codec.encode(channel.alloc(), id, reply));
    }

    private void pieces(Reply.Streamed pieces) {
      if (closing || !channel.isActive()) {
        pieces.source().cancel();
        return;
      }
      source = pieces.source();
      waiting = codec.encode(channel.alloc(), id, pieces);
      if (slots.peek() == this) {
        beginPieces();
      }
    }

    /** Whether pieces of a large value may come: its head has gone out. */
    private boolean flows() {
      return source != null && waiting == null;
    }

    /** It is this answer's turn. */
    private void beginPieces() {
      channel.write(waiting, channel.voidPromise());
      waiting = null;
      source.start(this);
    }

    @Override
    public void onChunk(ByteBuf bytes) {
      channel.writeAndFlush(bytes, channel.voidPromise());
      if (source != null) {
        source.setReading(channel.isWritable());
      }
    }

    @Override
    public void onComplete() {
      source = null;
      whole(codec.encodeStreamEnd());
    }

    /** The client can tell by the length that this is not the end. */
    @Override
    public void onFailure() {
      source = null;
      abort(Event.CLOSE_VALUE_CUT_OFF);
    }

    /** Gives these bytes as the whole answer. */
    private void whole(ByteBuf bytes) {
      if (closing || !channel.isActive()) {
        bytes.release();
        return;
      }
      if (given) {
        dispatcher.guard().answeredTwice(id, name);
        bytes.release();
        return;
      }
      given = true;
      waiting = bytes;
      if (slots.peek() == this) {
        advance();
        if (reading) {
          unflushed = true;
        } else {
          channel.flush();
          stand();
        }
      }
    }
  }

  /** Goes on to the next answer once the first has been given, as far as those have come. */
  private void advance() {
    for (Slot slot = slots.peek(); slot != null && slot.given; slot = slots.peek()) {
      channel.write(slot.waiting, channel.voidPromise());
      slot.waiting = null;
      slots.poll();
      if (slot.last) {
        close(Event.CLOSE_PROTOCOL_ERROR);
      }
    }
    Slot next = slots.peek();
    if (next != null && next.source != null && !next.flows()) {
      next.beginPieces();
    }
    steer();
  }

  /** Tells what is due on this connection now. */
  private void stand() {
    ClientConnections.Standing now =
        closing
            ? leaving ? ClientConnections.Standing.LEAVING : ClientConnections.Standing.CLOSING
            : !slots.isEmpty()
                ? ClientConnections.Standing.OWED
                : decoder.isMidCommand()
                    ? ClientConnections.Standing.MIDWAY
                    : used ? ClientConnections.Standing.IDLE : ClientConnections.Standing.UNUSED;
    if (now != standing && channel.isActive()) {
      ClientConnections.Standing before = standing;
      standing = now;
      spared = false;
      connections.moved(this, before, now);
    }
    leaveIfDone();
  }

  /**
   * Takes commands while the client reads its answers and is not owed too many; and where it was
   * told to leave, reads off what came once nothing can cross that any more.
   */
  private void steer() {
    boolean owesTooMany = slots.size() >= turns.owed();
    boolean takes =
        channel.isWritable() && !owesTooMany && !readPause.on() && !decoder.isDesynchronized();
    recordSuspension(owesTooMany, !channel.isWritable());
    if (leaving || lastCall) {
      inbound.mode(crossing || !leaving ? InboundBuffer.Mode.SUSPEND : InboundBuffer.Mode.DELIVER);
    } else {
      inbound.mode(takes ? InboundBuffer.Mode.DELIVER : InboundBuffer.Mode.BUFFER);
    }
  }

  private void recordSuspension(boolean owesTooMany, boolean unwritable) {
    if (owesTooMany && !owedTooMany) {
      recorder.record(Event.READ_PAUSE_ANSWERS_OWED, name);
    }
    if (unwritable && !wasUnwritable) {
      recorder.record(Event.READ_PAUSE_ANSWERS_NOT_READ, name);
    }
    owedTooMany = owesTooMany;
    wasUnwritable = unwritable;
  }

  private void penalize() {
    errors++;
    pause(Event.READ_PAUSE_CLIENT_ERROR, TimeUnit.MILLISECONDS.toNanos(PENALTY_MILLIS));
  }

  /** For how long to read nothing, since requests in a row were refused. */
  private long insists(ClientCommand.Rejections rejections) {
    long advice = TimeUnit.MILLISECONDS.toNanos(rejections.adviceMillis());
    long pause = 0;
    for (int i = 0; i < rejections.count(); i++) {
      pause = insistence.recordRejection(i < rejections.repeats(), advice, clock.now());
    }
    return pause;
  }

  /** Reads nothing for so long at least, 0 to go on. */
  private void pause(Event reason, long nanos) {
    if (nanos > 0) {
      recorder.record(reason, name);
    }
    if (nanos > 0 && readPause.atLeast(clock.now(), nanos)) {
      steer();
      resumeIn(nanos);
    }
    if (nanos > 0 && inbound.holdsBytes()) {
      inbound.reportDue();
    }
  }

  /** Buffered commands want an answer by then: no pause lasts until that time. */
  private void due(long dueAt) {
    long margin = DELIVERY_MARGIN_NANOS + dispatcher.stallAllowanceNanos();
    long latest = dueAt - margin;
    if (inbound.full() && clock.now() + UNSEEN_NANOS - latest < 0) {
      latest = clock.now() + UNSEEN_NANOS;
    }
    if (readPause.endBy(latest)) {
      resumeIn(Math.max(0, latest - clock.now()));
    }
  }

  /** The one alarm for the end of a pause, in place of the one before. */
  private void resumeIn(long nanos) {
    if (resumption != null) {
      resumption.cancel(false);
    }
    resumption = channel.eventLoop().schedule(this::resume, nanos, TimeUnit.NANOSECONDS);
  }

  private void resume() {
    long left = readPause.left(clock.now());
    if (left > 0) {
      resumeIn(left);
    } else {
      recorder.record(Event.READ_RESUMED, name);
      steer();
    }
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    inbound.listener(this::due);
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    stand();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    ClientCommand command = (ClientCommand) message;
    if (closing) {
      command.release();
      return;
    }
    reading = true;
    ClientCommand.Rejections rejections = command.rejections();
    int asks = command.answer() == null ? 1 : rejections.count();
    used |= asks > 0;
    Slot slot = new Slot();
    slots.add(slot);
    stand();
    ByteBuf answer = command.answer();
    boolean error = command.error();
    if (answer == null) {
      slot.id = command.request().id();
      slot.readAt = clock.now();
      slot.arrival = inbound.arrival();
      slot.budgetNanos = (long) (command.request().budgetSeconds() * NANOS_PER_SECOND);
      slot.request =
          dispatcher.submit(new Call(command.request(), command.payload(), slot), slot.arrival);
      if (slot.request == null) {
        answer = codec.encodeDuplicateId(channel.alloc());
        error = true;
      }
    }
    if (answer != null) {
      if (error) {
        penalize();
      }
      slot.last = command.lost() || errors >= MAX_ERRORS;
      slot.whole(answer);
    }
    if (asks > 0) {
      pause(Event.READ_PAUSE_FAIR_SHARE, turns.pause(sent, asks, clock.now()));
      pause(Event.READ_PAUSE_EARLY_RETRY, insists(rejections));
    }
    if (slots.size() >= turns.owed()) {
      steer();
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    heardAt = clock.activeNanos();
    reading = false;
    if (unflushed) {
      unflushed = false;
      channel.flush();
    }
    stand();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    stalledSince = clock.activeNanos();
    Slot first = slots.peek();
    if (first != null && first.flows()) {
      first.source.setReading(channel.isWritable());
    }
    steer();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (standing != null) {
      connections.closed(this, standing);
    }
    for (Slot slot = slots.poll(); slot != null; slot = slots.poll()) {
      if (slot.waiting != null) {
        slot.waiting.release();
      }
      if (slot.source != null) {
        ValueSource dropped = slot.source;
        slot.source = null;
        dropped.cancel();
      }
      if (slot.request != null) {
        reportUnanswered(slot);
        dispatcher.clientDisconnected(slot.request);
      }
    }
  }

  /**
   * Logs what was done for a request whose client has waited for long and left without an answer.
   */
  private void reportUnanswered(Slot slot) {
    if (!slot.given && clock.now() - slot.arrival >= slot.budgetNanos) {
      dispatcher.guard().unanswered(slot.id, name);
    } else if (!slot.given && clock.now() - slot.readAt > slot.budgetNanos / 2) {
      dispatcher.log(
          () ->
              "event=request_unanswered request_id="
                  + slot.id
                  + " connection="
                  + name
                  + " budget_ms="
                  + TimeUnit.NANOSECONDS.toMillis(slot.budgetNanos)
                  + " history=["
                  + recorder.history(slot.id, name)
                  + "]");
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof IOException)) {
      dispatcher.reportFailure("client connection", cause);
    }
    recorder.record(Event.CLOSE_FAILURE, name);
    ctx.close();
  }

  /**
   * Closes the connection once all that was written has gone out. Guards against losing the answer
   * after which a connection falls idle: a plain close drops what is not flushed.
   */
  void close(Event reason) {
    if (!closing) {
      checkAnswered();
      recorder.record(reason, name);
      end(ChannelFutureListener.CLOSE);
    }
  }

  /** No connection is ended by this node on which a request waits that was read. */
  private void checkAnswered() {
    for (Slot slot : slots) {
      if (slot.request != null && !slot.given) {
        dispatcher.guard().closedUnanswered(slot.id, name);
      }
    }
  }

  /** Takes nothing more, and does the step once all that was written has gone out. */
  private void end(ChannelFutureListener step) {
    closing = true;
    stand();
    channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(step);
  }

  /**
   * Ends a connection on which no answer is owed, unless the kernel holds bytes of it that have not
   * been read: then it is left alone, once for a command that has begun. Returns whether it ends.
   *
   * <p>Guards against losing a request that came while the node stood still, or was busy with
   * others: an end with such bytes unread resets the connection. What is left is a request that
   * arrives between that look and the moment in which its client hears of the end. By the protocol
   * the client asks once more on another connection where the node has not read it, and has lost it
   * where the node has: so nothing is read for {@value #CROSSING_MILLIS} ms. What has come is read
   * off and dropped after that, since unread bytes would make the kernel reset the connection.
   *
   * @param reason why it ends
   * @param now whether its descriptor is wanted, so that the client is not waited for
   */
  boolean endQuietly(Event reason, boolean now) {
    if (closing) {
      return false;
    }
    if (!spared && (inbound.holdsBytes() || ClientListener.hasUnread(channel))) {
      spared = standing == ClientConnections.Standing.MIDWAY;
      return false;
    }
    if (now) {
      close(reason);
    } else {
      leave(reason);
    }
    return true;
  }

  /**
   * From now on reads nothing more, and ends the connection once it has answered what was read: at
   * the end of a drain. Guards against a client that always has a request out: its connection never
   * falls idle, and what it sent last would be lost when the process ends. By the protocol the
   * client asks once more elsewhere for what the node has not read.
   */
  void lastCall() {
    if (!closing) {
      lastCall = true;
      steer();
      leaveIfDone();
    }
  }

  private void leaveIfDone() {
    if (lastCall && !closing && slots.isEmpty() && !inbound.holdsBytes()) {
      leave(Event.CLOSE_DRAIN);
    }
  }

  /** Ends this node's sending, so that the client leaves; see {@link #endQuietly}. */
  private void leave(Event reason) {
    if (!(channel instanceof DuplexChannel duplex) || !channel.isActive()) {
      close(reason);
      return;
    }
    checkAnswered();
    recorder.record(reason, name);
    leaving = true;
    crossing = true;
    steer();
    end(done -> duplex.shutdownOutput());
    channel
        .eventLoop()
        .schedule(
            () -> {
              crossing = false;
              steer();
            },
            CROSSING_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  /** Whether it sends the value of a command, and has gone on with that since the given time. */
  boolean sendsValue(long since) {
    return decoder.isReadingValue() && heardAt - since > 0;
  }

  /** When bytes came last. */
  long heardAt() {
    return heardAt;
  }

  /** Closes the connection whatever has not gone out. */
  void abort(Event reason) {
    recorder.record(reason, name);
    channel.close();
  }

  /** Closes the connection of a client that has long read nothing of what waits for it. */
  void abortIfStalled() {
    if (!channel.isWritable() && clock.activeNanos() - stalledSince > MAX_STALL_NANOS) {
      abort(Event.CLOSE_SLOW_READER);
    }
  }
}
