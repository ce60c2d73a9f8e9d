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
 * The front of one client protocol: sets up each connection that a listener accepts, or closes it
 * where the limit is reached. All of it runs on the dispatcher's event loop.
 */
public final class ClientFront extends ChannelInitializer<Channel> {
  private final Dispatcher dispatcher;
  private final ClientCodec codec;
  private final ClientConnections clients;
  private final FairReadScheduler fairness;
  private final MemoryBudget inboundBudget;

  /**
   * A front without connections.
   *
   * @param maxConnections connections that may be open at once
   * @param degradation the limits under the present load
   * @param inboundBudget bounds what is buffered of commands that are not taken yet
   */
  public ClientFront(
      Dispatcher dispatcher,
      ClientCodec codec,
      int maxConnections,
      Supplier<DegradationPolicy> degradation,
      MemoryBudget inboundBudget) {
    this.inboundBudget = inboundBudget;
    this.dispatcher = dispatcher;
    this.codec = codec;
    this.fairness = new FairReadScheduler(degradation);
    this.clients = new ClientConnections(maxConnections, dispatcher.clock());
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
    long connectedSinceNanos = ClientListener.waitingSince(channel, clock);
    InboundBuffer inbound = new InboundBuffer(inboundBudget, clock, connectedSinceNanos);
    ClientCodec.CommandDecoder decoder = codec.decoder();
    channel
        .pipeline()
        .addLast(
            inbound,
            decoder,
            new ClientHandler(dispatcher, clients, codec, inbound, decoder, fairness));
  }

  /** See {@link ClientConnections#closeExpired}. */
  public void closeExpired() {
    clients.closeExpired();
  }

  /** No more connections come: idle ones are kept open from now on. */
  public void listenerClosed() {
    clients.listenerClosed();
  }

  /** Connections with a pending response. */
  public int connectionsAwaitingResponse() {
    return clients.connectionsAwaitingResponse();
  }

  /** Connections that are open. */
  public int connectionCount() {
    return clients.connectionCount();
  }

  /**
   * Ends all connections, each behind its pending responses; see {@link ClientConnections#drain}.
   *
   * @param restMillis after how long the closing of idle connections begins
   * @param lastCallMillis how long after that reading stops on all connections
   * @param then run once when no connection is left
   */
  public void drain(EventLoop loop, long restMillis, long lastCallMillis, Runnable then) {
    clients.drain(loop, restMillis, lastCallMillis, then);
  }

  /** Changes the limit; connections past it stay open. */
  public void setMaxConnections(int connections) {
    clients.setMaxConnections(connections);
  }
}
