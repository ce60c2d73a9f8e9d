package shalepaddle.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderException;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import shalepaddle.engine.Attempt;
import shalepaddle.engine.Dispatcher;
import shalepaddle.engine.LargeReply;
import shalepaddle.engine.ServerReply;
import shalepaddle.engine.ValueSource;
import shalepaddle.loop.LoopClock;
import shalepaddle.model.Outcome;

/**
 * One connection to a cache server. Answers come in the order of the commands; each is matched with
 * the attempt that waits longest.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter implements Attempt.Carrier {
  /** How much of a large value is held back: so long its attempt can be made again. */
  private static final int HELD_BACK = 16 << 10;

  /** How long a server may pause within a large value, before and after that has been passed on. */
  private static final long MAX_EARLY_PAUSE_NANOS = 1_000_000_000L;

  private static final long MAX_PIECES_PAUSE_NANOS = 2_500_000_000L;

  /** How long a reply that has begun may pause. */
  private static final long MAX_PAUSE_NANOS = 250_000_000L;

  /**
   * How long a first answer that turns its request away may be followed by the connection's end: it
   * is then the connection that was turned away. A server that does so ends it in the same moment.
   */
  private static final long PARTING_NANOS = 5_000_000L;

  private final ServerPool pool;
  private final Dispatcher dispatcher;
  private final ServerCodec codec;
  private final ServerCodec.ReplyDecoder decoder;
  private final ArrayDeque<Attempt> underWay = new ArrayDeque<>();
  private final LoopClock clock;
  private final long openedAt;
  private Channel channel;
  private long heardAt;

  /** When it was heard from last, in time in which the event loop listened. */
  private long listenedAt;

  private long usedAt;

  /** Whether it gets nothing more and closes once nobody waits for what is under way. */
  private boolean retiring;

  /** Attempts under way that somebody still waits for. */
  private int awaited;

  /** Whether bytes are being read, of which not all have been looked at. */
  private boolean reading;

  /**
   * Whether the kernel has not taken all that was written. What would wait behind that waits in the
   * pool instead, from where it can be taken back: its first byte would go out long after it was
   * decided on, perhaps for a client that has left, or to a server that has been told to leave.
   */
  private boolean backedUp;

  /** Whether this node closes it for what came on it. */
  private boolean spoilt;

  private boolean closed;

  /** The pause before the request that is under way, -1 if it was none or is over. */
  private long pause = -1;

  /** The large value that is under way, null if there is none. */
  private Pieces pieces;

  /** Whether it has borne a request: the server has a place for it. */
  private boolean proven;

  /** What was turned away by the first answer, while its reason is not known; else null. */
  private Attempt turnedAway;

  /** The id of the answer that came last, null if none did. */
  private String lastId;

  ServerConnection(ServerPool pool, ServerCodec codec, Dispatcher dispatcher) {
    this.pool = pool;
    this.codec = codec;
    decoder = codec.decoder();
    this.dispatcher = dispatcher;
    clock = dispatcher.clock();
    openedAt = clock.refresh();
    usedAt = openedAt;
    heard();
  }

  private void heard() {
    heardAt = clock.refresh();
    listenedAt = clock.activeNanos();
  }

  ChannelFuture open(Bootstrap bootstrap, SocketAddress address) {
    ChannelFuture future = bootstrap.clone().handler(this).connect(address);
    channel = future.channel();
    return future;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    ctx.pipeline().addBefore(ctx.name(), null, decoder);
  }

  long openedAt() {
    return openedAt;
  }

  long heardAt() {
    return heardAt;
  }

  long usedAt() {
    return usedAt;
  }

  boolean retiring() {
    return retiring;
  }

  /** Attempts under way; more than any limit where nothing may be written any more. */
  int load() {
    // Whatever is written behind a large value would wait for its client.
    boolean shut =
        retiring || closed || reading || backedUp || pieces != null || turnedAway != null;
    return shut ? Integer.MAX_VALUE : underWay.size();
  }

  /**
   * Whether an attempt is better written here: fewer to wait for, or more lately in use. Last where
   * it would wait behind the first on a new connection: if that is turned away, the server ends it,
   * and nobody can tell whether the second has run.
   */
  boolean preferredTo(ServerConnection other) {
    if (other != null && untried() != other.untried()) {
      return other.untried();
    }
    return other == null
        || load() < other.load()
        || (load() == other.load() && usedAt - other.usedAt > 0);
  }

  private boolean untried() {
    return !proven && !underWay.isEmpty();
  }

  /** Writes an attempt, or gives it back if it may not be written any more. */
  void write(Attempt attempt) {
    long now = clock.refresh();
    if (attempt.isTooLateToWrite(now)
        || !dispatcher.guard().maySend(attempt, now, pool.drainingPastGrace(now))) {
      dispatcher.returnUnwritten(attempt);
      return;
    }
    attempt.assignTo(this);
    pause = underWay.isEmpty() ? now - usedAt : pause;
    underWay.add(attempt);
    awaited++;
    usedAt = now;
    long millis = (attempt.deadlineNanos() - usedAt + 999_999) / 1_000_000;
    ChannelFuture written =
        channel.writeAndFlush(codec.encode(channel.alloc(), attempt.call(), millis));
    if (written.isDone()) {
      written(attempt, written.isSuccess());
    } else {
      backedUp = true;
      written.addListener(
          done -> {
            backedUp = false;
            written(attempt, done.isSuccess());
            if (done.isSuccess()) {
              pool.free(this);
            }
          });
    }
  }

  private void written(Attempt attempt, boolean whole) {
    if (whole) {
      dispatcher.attemptWritten(attempt);
    }
  }

  /** Nothing more is written here; closes once nobody waits for what is under way. */
  void retire() {
    retiring = true;
    if (awaited == 0) {
      channel.close();
    }
  }

  /**
   * Nobody waits for this attempt any more. Closing the connection gives it up, but would break the
   * others on it: where there are any, its answer is read and dropped.
   */
  @Override
  public void abandon(Attempt attempt, boolean overdue) {
    attempt.abandon();
    awaited--;
    // Guards against writing more behind an attempt that may never be answered.
    retire();
    if (!attempt.isWritten() && attempt.isTooLateToWrite(clock.refresh())) {
      // The rest of it would go out once the kernel takes more; the others are worth less than
      // that.
      channel.close();
    }
    if (overdue && heardAt - attempt.sentAtNanos() < 0) {
      pool.suspectSilence(attempt.sentAtNanos());
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    heard();
    reading = true;
    if (message instanceof ByteBuf piece) {
      if (pieces == null || closed || spoilt) {
        piece.release();
      } else {
        pieces.come(piece);
      }
      return;
    }
    if (message == LargeReply.END) {
      endOfPieces();
      return;
    }
    if (message instanceof LargeReply large) {
      begin(large);
      return;
    }
    ServerReply reply = (ServerReply) message;
    try {
      reply(reply);
    } finally {
      if (reply.value() != null) {
        reply.value().release();
      }
    }
  }

  /** The attempt that a reply answers; null if it answers none, and that has been seen to. */
  private Attempt answered(ServerReply reply, boolean large) {
    if (closed || spoilt) {
      return null;
    }
    Attempt head = underWay.peek();
    if (reply.id() != null
        && reply.id().equals(lastId)
        && (head == null || !head.hasRequestId(lastId))) {
      // A second copy of an answer. It harms nobody, but nothing new is written behind it.
      retire();
      return null;
    }
    if (head == null || !(large ? head.matchesValue(reply) : head.matches(reply))) {
      spoil("a reply matches no request");
      return null;
    }
    lastId = head.exchange().id();
    rested(false);
    return head;
  }

  private void reply(ServerReply reply) {
    Attempt head = answered(reply, false);
    if (head == null) {
      return;
    }
    boolean away = reply.result() == Outcome.Result.SERVER_BUSY && !proven && underWay.size() == 1;
    proven |= !away;
    if (away && !head.isEnded() && pool.holdsOthers(this)) {
      over();
      // Off this connection, whatever becomes of it: it has provably not run.
      head.detach();
      turnedAway = head;
      dispatcher.timers().runNoEarlierThan(PARTING_NANOS, () -> stays(reply));
      return;
    }
    if (!head.isEnded()) {
      dispatcher.responseReceived(head, reply);
    }
    over();
  }

  /** The connection has outlived its first answer: it was the request that was turned away. */
  private void stays(ServerReply reply) {
    if (turnedAway != null) {
      Attempt head = turnedAway;
      turnedAway = null;
      proven = true;
      dispatcher.responseReceived(head, reply);
      pool.free(this);
    }
  }

  /** The reply to the attempt that waits longest has come, whole. */
  private void over() {
    if (!underWay.poll().isAbandoned()) {
      awaited--;
    }
    usedAt = clock.refresh();
    if (retiring) {
      retire();
    }
  }

  private void begin(LargeReply reply) {
    Attempt head = answered(reply.head(), true);
    if (head != null) {
      pieces = new Pieces(head, reply);
    }
  }

  private void endOfPieces() {
    if (pieces != null && !closed && !spoilt) {
      Pieces whole = pieces;
      pieces = null;
      over();
      whole.end();
    }
  }

  /**
   * A large value on its way through: the first bytes are held back, then all goes on as it comes
   * and as fast as its client takes it.
   */
  private final class Pieces implements ValueSource {
    private final Attempt attempt;
    private final LargeReply reply;
    private final ArrayDeque<ByteBuf> early = new ArrayDeque<>();
    private int held;

    /** Whether it has been offered to who waits for it. */
    private boolean begun;

    private boolean wanted = true;
    private boolean whole;
    private Receiver taker;

    Pieces(Attempt attempt, LargeReply reply) {
      this.attempt = attempt;
      this.reply = reply;
    }

    void come(ByteBuf piece) {
      if (!wanted) {
        piece.release();
        return;
      }
      if (taker != null) {
        taker.onChunk(piece);
        return;
      }
      early.add(piece);
      held += piece.readableBytes();
      if (!begun && held >= HELD_BACK) {
        begun = true;
        if (!dispatcher.responseReceived(attempt, reply, this)) {
          wanted = false;
          giveUp();
        }
      }
      if (wanted && taker == null && begun) {
        // Its turn at its client has not come: what has been read is held, and no more.
        setReading(false);
      }
    }

    @Override
    public void start(Receiver taker) {
      this.taker = taker;
      setReading(true);
      for (ByteBuf piece = early.poll(); piece != null; piece = early.poll()) {
        taker.onChunk(piece);
      }
      if (whole) {
        taker.onComplete();
      }
    }

    @Override
    public void setReading(boolean on) {
      if (channel.config().isAutoRead() != on) {
        heard();
        channel.config().setAutoRead(on);
      }
    }

    @Override
    public void cancel() {
      wanted = false;
      taker = null;
      giveUp();
    }

    /** Nobody wants the rest: unless others wait behind it, closing is the cheapest end. */
    private void giveUp() {
      release();
      if (pieces == this && underWay.size() <= 1) {
        channel.close();
      } else {
        setReading(true);
      }
    }

    void end() {
      whole = true;
      if (taker != null) {
        taker.onComplete();
      }
    }

    void broken() {
      release();
      if (wanted && taker != null) {
        taker.onFailure();
      }
    }

    private void release() {
      early.forEach(ByteBuf::release);
      early.clear();
    }
  }

  /** The first request after a pause is answered, or its connection broke. */
  private void rested(boolean broke) {
    if (pause >= 0) {
      pool.rested(pause, broke);
      pause = -1;
    }
  }

  /**
   * All that has come is looked at: the connection may be used again. Guards against bytes right
   * behind an answer, which are nobody's and would be taken for the next request's: no request is
   * written before they are seen.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    heard();
    reading = false;
    if (underWay.isEmpty() && decoder.isMidReply()) {
      spoil("bytes behind the last reply");
    }
    if (!closed && !spoilt && !retiring) {
      pool.free(this);
    }
  }

  /**
   * What came cannot be trusted, nor can anything after it. Guards against serving one request with
   * another's answer. The attempts under way may have run; the server is not taken for broken,
   * which could do harm only if it answered nobody well, and then it serves nothing and is seen to.
   */
  private void spoil(String why) {
    if (!spoilt && !closed) {
      spoilt = true;
      dispatcher.log(channel.remoteAddress() + ": " + why);
      channel.close();
    }
  }

  /**
   * Gives up a reply that began and does not go on. Guards against lines without an end and lengths
   * that are too great, behind which all else on the connection would wait until its time is up.
   * Harms a server that pauses within an answer for longer.
   */
  void closeIfStalled() {
    if (pieces != null && !channel.config().isAutoRead()) {
      // It is this end that does not read; its client's own time is looked after there.
      return;
    }
    long most =
        pieces == null
            ? MAX_PAUSE_NANOS
            : pieces.begun ? MAX_PIECES_PAUSE_NANOS : MAX_EARLY_PAUSE_NANOS;
    if (decoder.isMidReply() && clock.activeNanos() - listenedAt > most) {
      spoil("a reply that does not end");
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    closed = true;
    if (turnedAway != null) {
      retiring = true;
      Attempt head = turnedAway;
      turnedAway = null;
      pool.turnedDown(head);
    }
    if (!underWay.isEmpty() && !spoilt && !decoder.isMidReply()) {
      rested(true);
    }
    if (pieces != null) {
      Pieces cut = pieces;
      pieces = null;
      cut.broken();
    }
    for (Attempt attempt = underWay.poll(); attempt != null; attempt = underWay.poll()) {
      // Only a command whose last byte was not handed to the socket has provably not run.
      dispatcher.attemptEnded(
          attempt,
          !attempt.isWritten()
              ? Outcome.Result.CONNECT_FAILED
              : spoilt ? Outcome.Result.MALFORMED_RESPONSE : Outcome.Result.RESET);
    }
    pool.closed(this);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof DecoderException && cause.getCause() != null) {
      spoil(cause.getCause().getMessage());
    } else if (!(cause instanceof IOException)) {
      dispatcher.reportFailure("server connection", cause);
    }
    ctx.close();
  }
}
