package shalepaddle.front;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import java.util.function.Supplier;
import shalepaddle.diagnostics.Event;
import shalepaddle.engine.Dispatcher;
import shalepaddle.engine.MemoryBudget;
import shalepaddle.loop.LoopClock;
import shalepaddle.overload.DegradationPolicy;
import shalepaddle.sockets.SendQueues;

/**
 * The front of one client protocol: sets up each connection that a listener accepts, or closes it
 * if the limit is reached. Called only on the dispatcher's event loop.
 */
public final class ClientFront extends ChannelInitializer<Channel> {
  /** The part of the memory for bytes that are read while the handling of commands is suspended. */
  private static final int INBOUND_DIVISOR = 6;

  /** The part of the memory for responses that wait for earlier ones or are not sent. */
  private static final int RESPONSE_DIVISOR = 2;

  /** The part of the memory for large values that are held until they are complete. */
  private static final int HELD_VALUE_DIVISOR = 3;

  private final Dispatcher dispatcher;
  private final ClientCodec codec;
  private final ClientConnections clients;
  private final FairReadScheduler fairReadScheduler;
  private final MemoryBudget inboundBudget;
  private final MemoryBudget responseBudget;
  private final MemoryBudget heldValueBudget;

  /**
   * Creates a front without connections.
   *
   * @param maxConnections the maximum number of open connections
   * @param degradation the limits under the present load
   * @param sendQueues tells what has not arrived at clients
   * @param memory limits the bytes that wait on all connections together
   */
  public ClientFront(
      Dispatcher dispatcher,
      ClientCodec codec,
      int maxConnections,
      Supplier<DegradationPolicy> degradation,
      SendQueues sendQueues,
      MemoryBudget memory) {
    this.inboundBudget = memory.newPart(memory.totalBytes() / INBOUND_DIVISOR);
    this.responseBudget = memory.newPart(memory.totalBytes() / RESPONSE_DIVISOR);
    this.heldValueBudget = memory.newPart(memory.totalBytes() / HELD_VALUE_DIVISOR);
    this.dispatcher = dispatcher;
    this.codec = codec;
    this.fairReadScheduler = new FairReadScheduler(degradation);
    this.clients = new ClientConnections(maxConnections, dispatcher.clock(), sendQueues);
  }

  @Override
  protected void initChannel(Channel channel) {
    LoopClock clock = dispatcher.clock();
    clock.refresh();
    if (!clients.admit()) {
      dispatcher.recorder().record(Event.CLOSE_NO_ROOM, null);
      channel.close();
      return;
    }
    long connectedSinceNanos = ClientListener.waitingSinceNanos(channel, clock);
    InboundBuffer inboundBuffer = new InboundBuffer(inboundBudget, clock, connectedSinceNanos);
    ClientCodec.CommandDecoder decoder = codec.decoder();
    channel
        .pipeline()
        .addLast(
            inboundBuffer,
            decoder,
            new ClientHandler(
                dispatcher,
                clients,
                codec,
                inboundBuffer,
                decoder,
                fairReadScheduler,
                responseBudget,
                heldValueBudget));
  }

  /** See {@link ClientConnections#closeExpired}. */
  public void closeExpired() {
    clients.closeExpired();
  }

  /** Called when the listener was closed; see {@link ClientConnections#listenerClosed}. */
  public void listenerClosed() {
    clients.listenerClosed();
  }

  /** The number of connections with a pending response. */
  public int connectionsAwaitingResponse() {
    return clients.connectionsAwaitingResponse();
  }

  /** The number of open connections. */
  public int connectionCount() {
    return clients.connectionCount();
  }

  /** See {@link ClientConnections#describeCounts}. */
  public String describeCounts() {
    return clients.describeCounts();
  }

  /**
   * From now on ends each connection after its pending responses; see {@link ClientDrain}.
   *
   * @param onDrained run once when the listener is closed and no connection is left
   */
  public void drain(Runnable onDrained) {
    clients.drain().begin(onDrained);
  }

  /** Ends the connections on which no request is open, after a delay; called in a drain. */
  public void endUnneededAfter(EventLoop loop, long delayMillis) {
    clients.drain().endUnneededAfter(loop, delayMillis);
  }

  /** See {@link ClientDrain#stopReadingAfter}; called in a drain, without a listener. */
  public void stopReadingAfter(EventLoop loop, long delayMillis) {
    clients.drain().stopReadingAfter(loop, delayMillis);
  }

  /** Stops reading on all connections after a delay; called in a drain. */
  public void stopReadingOnAllAfter(EventLoop loop, long delayMillis) {
    clients.drain().stopReadingOnAllAfter(loop, delayMillis);
  }

  /** Changes the limit; connections beyond it stay open. */
  public void setMaxConnections(int connections) {
    clients.setMaxConnections(connections);
  }
}
