package shalepaddle.engine;

import io.netty.buffer.ByteBuf;

/** A value whose request ends with it: it is counted when it is whole, or never will be. */
final class MeteredValueSource implements ValueSource, ValueSource.Taker {
  private final RequestMetrics figures;
  private final String service;
  private final ValueSource source;
  private Taker taker;
  private boolean over;

  MeteredValueSource(RequestMetrics figures, String service, ValueSource source) {
    this.figures = figures;
    this.service = service;
    this.source = source;
  }

  @Override
  public void begin(Taker taker) {
    this.taker = taker;
    source.begin(this);
  }

  @Override
  public void flow(boolean on) {
    source.flow(on);
  }

  @Override
  public void drop() {
    if (!over) {
      over = true;
      figures.gone();
      source.drop();
    }
  }

  @Override
  public void piece(ByteBuf bytes) {
    taker.piece(bytes);
  }

  @Override
  public void end() {
    over = true;
    figures.served(service);
    taker.end();
  }

  @Override
  public void broken() {
    over = true;
    figures.answered(service, new Reply.Failed(true));
    taker.broken();
  }
}
