package shalepaddle.codec.meta;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import shalepaddle.engine.MemoryBudget;
import shalepaddle.engine.Reply;
import shalepaddle.front.ClientCodec;
import shalepaddle.front.RequestAdmission;
import shalepaddle.model.Settings;

/** The meta protocol with clients: decodes commands and encodes responses. Owned by the loop. */
public final class MetaClientCodec implements ClientCodec {
  private final MemoryBudget writeBudget;
  private final RequestNames names;
  private final RequestAdmission admission;

  /**
   * Creates the codec of one front.
   *
   * @param writeBudget limits the memory for the values of all open writes
   * @param settings the known classes and tenants; the decoder rejects requests of other classes
   * @param admission admits or rejects each request
   */
  public MetaClientCodec(MemoryBudget writeBudget, Settings settings, RequestAdmission admission) {
    this.writeBudget = writeBudget;
    this.names = new RequestNames(settings);
    this.admission = admission;
  }

  /**
   * Applies new settings on all connections. Classes that are removed are still accepted until they
   * expire; {@link #expireRemovedClasses} must be called at that time.
   *
   * @param now the present time by the loop's clock
   * @param expireAtNanos when removed classes expire, by the same clock
   */
  public void updateSettings(Settings settings, long now, long expireAtNanos) {
    names.update(settings, now, expireAtNanos);
  }

  /** Stops accepting removed classes that have expired. */
  public void expireRemovedClasses(long now) {
    names.expireRemovedClasses(now);
  }

  @Override
  public CommandDecoder decoder() {
    return new MetaCommandDecoder(writeBudget, names, admission);
  }

  @Override
  public ByteBuf encode(ByteBufAllocator allocator, String id, Reply reply) {
    return MetaReplies.encode(allocator, id, reply);
  }

  @Override
  public ByteBuf encodeStreamEnd() {
    return MetaReplies.encodeStreamEnd();
  }

  @Override
  public ByteBuf encodeDuplicateId(ByteBufAllocator allocator) {
    return MetaReplies.encodeLine(allocator, WireNames.CLIENT_ERROR + " id in use");
  }
}
