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

/**
 * The front of one client protocol: what is done with each connection that a listener accepts. All
 * of it runs on the dispatcher's thread.
 */
public final class ClientFront extends ChannelInitializer<Channel> {
  private final Dispatcher dispatcher;
  private final ClientCodec codec;
  private final ClientConnections clients;
  private final FairReadScheduler turns;
  private final MemoryBudget aheadOfTurn;

  /**
   * A front without connections.
   *
   * @param limit connections that it holds at most
   * @param posture what to do without now
   * @param aheadOfTurn for what is read from clients whose commands are not taken yet
   */
  public ClientFront(
      Dispatcher dispatcher,
      ClientCodec codec,
      int limit,
      Supplier<DegradationPolicy> posture,
      MemoryBudget aheadOfTurn) {
    this.aheadOfTurn = aheadOfTurn;
    this.dispatcher = dispatcher;
    this.codec = codec;
    this.turns = new FairReadScheduler(posture);
    this.clients = new ClientConnections(limit, dispatcher.clock());
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
    long connectedSince = ClientListener.waitingSince(channel, clock);
    InboundBuffer inbound = new InboundBuffer(aheadOfTurn, clock, connectedSince);
    ClientCodec.CommandDecoder decoder = codec.decoder();
    channel
        .pipeline()
        .addLast(
            inbound,
            decoder,
            new ClientHandler(dispatcher, clients, codec, inbound, decoder, turns));
  }

  /** Closes what has been of no use for too long. Not to be called while the loop is behind. */
  public void closeExpired() {
    clients.closeExpired();
  }

  /** No more connections come. */
  public void listenerClosed() {
    clients.listenerClosed();
  }

  /** Connections on which an answer is owed. */
  public int connectionsAwaitingResponse() {
    return clients.connectionsAwaitingResponse();
  }

  /** Connections that are open. */
  public int connectionCount() {
    return clients.connectionCount();
  }

  /**
   * From now on closes each connection as it falls idle, in so many milliseconds those that rest by
   * then, and in so many more all others, behind what they are owed; runs the step when none is
   * left.
   */
  public void drain(EventLoop loop, long restMillis, long lastCallMillis, Runnable then) {
    clients.drain(loop, restMillis, lastCallMillis, then);
  }

  /** Holds so many connections at most from now on; those that are there stay. */
  public void setMaxConnections(int connections) {
    clients.setMaxConnections(connections);
  }
}
