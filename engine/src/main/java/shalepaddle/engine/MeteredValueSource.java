package shalepaddle.engine;

import io.netty.buffer.ByteBuf;

/** A value whose request ends with it: it is counted when it is whole, or never will be. */
final class MeteredValueSource implements ValueSource, ValueSource.Receiver {
  private final RequestMetrics figures;
  private final String service;
  private final ValueSource source;
  private Receiver taker;
  private boolean over;

  MeteredValueSource(RequestMetrics figures, String service, ValueSource source) {
    this.figures = figures;
    this.service = service;
    this.source = source;
  }

  @Override
  public void start(Receiver taker) {
    this.taker = taker;
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
      figures.gone();
      source.cancel();
    }
  }

  @Override
  public void onChunk(ByteBuf bytes) {
    taker.onChunk(bytes);
  }

  @Override
  public void onComplete() {
    over = true;
    figures.served(service);
    taker.onComplete();
  }

  @Override
  public void onFailure() {
    over = true;
    figures.answered(service, new Reply.Failed(true));
    taker.onFailure();
  }
}
