package shalepaddle.codec.meta;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderException;
import java.util.Arrays;
import java.util.List;
import shalepaddle.engine.LargeReply;
import shalepaddle.engine.ServerReply;
import shalepaddle.model.LoadReport;
import shalepaddle.model.Outcome;
import shalepaddle.upstream.ServerCodec;

/**
 * Reads replies off a cache server's connection. Each is whole and well formed: what does not fit
 * the protocol in its line, its length or its end spoils the connection, from which nothing more is
 * read then. Guards against serving a client with bytes that follow a spoilt answer.
 */
final class MetaReplyDecoder extends ServerCodec.ReplyDecoder {
  /** A reply whose value is still to come, and how long that is. */
  private ServerReply head;

  private int length;

  /** Bytes of a large value that are still to come, -1 while none is under way. */
  private int missing = -1;

  private boolean spoilt;

  @Override
  public boolean isMidReply() {
    return head != null || actualReadableBytes() > 0;
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
    if (spoilt) {
      in.skipBytes(in.readableBytes());
      return;
    }
    try {
      if (missing >= 0) {
        pieces(in, out);
        return;
      }
      if (head == null) {
        MetaLine line = MetaLine.read(in);
        if (line == null) {
          return;
        }
        head = parse(line);
      }
      if (length < 0) {
        out.add(head);
        head = null;
      } else if (length > MetaLine.MAX_WHOLE) {
        missing = length;
        out.add(new LargeReply(head, length));
      } else if (in.readableBytes() >= length + 2) {
        int end = in.readerIndex() + length;
        if (in.getByte(end) != '\r' || in.getByte(end + 1) != '\n') {
          throw new MetaLine.MalformedException("bad data chunk");
        }
        ByteBuf value = in.readRetainedSlice(length);
        in.skipBytes(2);
        out.add(new ServerReply(head.result(), head.id(), null, value, head.note(), head.load()));
        head = null;
      }
    } catch (MetaLine.MalformedException e) {
      spoilt = true;
      in.skipBytes(in.readableBytes());
      throw new DecoderException(e);
    }
  }

  /** Passes on what has come of a large value, and its end once that is there. */
  private void pieces(ByteBuf in, List<Object> out) throws MetaLine.MalformedException {
    if (missing > 0) {
      int bytes = Math.min(missing, in.readableBytes());
      missing -= bytes;
      out.add(in.readRetainedSlice(bytes));
    } else if (in.readableBytes() >= 2) {
      MetaLine.readEnd(in);
      missing = -1;
      head = null;
      out.add(LargeReply.END);
    }
  }

  private ServerReply parse(MetaLine line) throws MetaLine.MalformedException {
    line.next();
    Outcome.Result result = Outcome.Result.OK;
    length = -1;
    if (line.is("VA")) {
      length = line.next() ? line.number(line.start(), line.end()) : -1;
      if (length < 0 || length > MetaLine.MAX_VALUE) {
        throw new MetaLine.MalformedException("bad data length");
      }
    } else if (line.is("SERVER_ERROR")) {
      if (!line.next()) {
        throw new MetaLine.MalformedException("error without a word");
      }
      result = line.is("busy") ? Outcome.Result.SERVER_BUSY : Outcome.Result.ERROR;
    } else if (!line.is("HD")) {
      throw new MetaLine.MalformedException("unknown reply");
    }
    String id = null;
    String receipt = null;
    Outcome.CacheStatus note = Outcome.CacheStatus.NONE;
    LoadReport load = null;
    while (line.next()) {
      switch (line.flag()) {
        case 'O' -> id = line.word(1);
        case 'c' -> receipt = line.word(1);
        case 'h' -> note = line.is("h1") ? Outcome.CacheStatus.HIT : Outcome.CacheStatus.MISS;
        case 'Z' -> note = Outcome.CacheStatus.MISS_PENDING;
        case 'L' -> load = load(line.word(1));
        default -> {
          // Nothing that this node knows the use of.
        }
      }
    }
    if (result == Outcome.Result.OK && id == null) {
      throw new MetaLine.MalformedException("reply without an id");
    }
    if (result == Outcome.Result.OK && length < 0 && (receipt == null || receipt.isEmpty())) {
      throw new MetaLine.MalformedException("reply without a receipt");
    }
    return new ServerReply(result, id, receipt, null, note, load);
  }

  /** A load above this is none that a server can have. */
  private static final double MAX_LOAD = 1e9;

  private static LoadReport load(String text) {
    double[] values = new double[8];
    Arrays.fill(values, Double.NaN);
    for (String pair : text.split(",", 0)) {
      int equals = pair.indexOf('=');
      int place =
          switch (pair.substring(0, Math.max(0, equals))) {
            case "inflight", "active" -> 0;
            case "queue", "waiting" -> 1;
            case "util", "cpu" -> 2;
            case "latency_ms", "avg_ms" -> 3;
            case "qps", "rps" -> 4;
            case "eps", "err_rps" -> 5;
            case "x0" -> 6;
            case "x1" -> 7;
            default -> -1;
          };
      if (place >= 0) {
        try {
          double value = Double.parseDouble(pair.substring(equals + 1));
          values[place] = value >= 0 && value < MAX_LOAD ? value : Double.NaN;
        } catch (NumberFormatException e) {
          // A figure that cannot be read is one that was not reported.
        }
      }
    }
    return new LoadReport(
        values[0], values[1], values[2], values[3], values[4], values[5], values[6], values[7]);
  }
}
