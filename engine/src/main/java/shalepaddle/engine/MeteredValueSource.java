package shalepaddle.engine;

import io.netty.buffer.ByteBuf;

/**
 * Wraps the source of a streamed value, and counts its request when the value is complete, has
 * failed or is cancelled. Owned by the event loop's thread.
 */
final class MeteredValueSource implements ValueSource, ValueSource.Receiver {
  private final RequestMetrics metrics;
  private final String service;
  private final ValueSource source;
  private Receiver receiver;
  private boolean isEnded;

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
  public void setReading(boolean isReading) {
    source.setReading(isReading);
  }

  @Override
  public void cancel() {
    if (!isEnded) {
      isEnded = true;
      metrics.countDisconnected();
      source.cancel();
    }
  }

  @Override
  public void expire() {
    if (!isEnded) {
      isEnded = true;
      metrics.countAnswered(service, new Reply.Failed(true));
      source.cancel();
    }
  }

  @Override
  public void onChunk(ByteBuf bytes) {
    receiver.onChunk(bytes);
  }

  @Override
  public void onComplete() {
    isEnded = true;
    metrics.countStreamed(service);
    receiver.onComplete();
  }

  @Override
  public void onFailure() {
    isEnded = true;
    metrics.countAnswered(service, new Reply.Failed(true));
    receiver.onFailure();
  }
}
