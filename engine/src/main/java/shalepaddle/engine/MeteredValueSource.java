package shalepaddle.engine;

import io.netty.buffer.ByteBuf;

/** A value whose request ends with it: it is counted when it is whole, or never will be. */
final class MeteredValueSource implements ValueSource, ValueSource.Receiver {
  private final RequestMetrics metrics;
  private final String service;
  private final ValueSource source;
  private Receiver receiver;
  private boolean over;

  MeteredValueSource(RequestMetrics metrics, String service, ValueSource source) {
    this.metrics = metrics;
    this.service = service;
    this.source = source;
  }

  @Override
  public void start(Receiver receiver) {
    this.receiver = receiver;
    source.start(this);
  }

  @Override
  public void setReading(boolean on) {
    source.setReading(on);
  }

  @Override
  public void cancel() {
    if (!over) {
      over = true;
      metrics.clientDisconnected();
      source.cancel();
    }
  }

  @Override
  public void onChunk(ByteBuf bytes) {
    receiver.onChunk(bytes);
  }

  @Override
  public void onComplete() {
    over = true;
    metrics.streamed(service);
    receiver.onComplete();
  }

  @Override
  public void onFailure() {
    over = true;
    metrics.answered(service, new Reply.Failed(true));
    receiver.onFailure();
  }
}
