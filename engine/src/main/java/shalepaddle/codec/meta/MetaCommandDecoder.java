package shalepaddle.codec.meta;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelHandlerContext;
import java.util.List;
import shalepaddle.engine.MemoryBudget;
import shalepaddle.front.ClientCodec;
import shalepaddle.front.ClientCommand;
import shalepaddle.front.ClientCommand.Rejections;
import shalepaddle.front.RequestAdmission;
import shalepaddle.model.Request;

/** Reads commands off a client's connection, however its bytes are cut. */
final class MetaCommandDecoder extends ClientCodec.CommandDecoder {
  /** Longest key, as in memcached. */
  private static final int MAX_KEY = 250;

  private static final int MAX_ID = 64;

  /** Longest deadline in milliseconds that is believed: it bounds what a request can hold. */
  private static final int MAX_DEADLINE = 60_000;

  private final MemoryBudget budget;

  /** The classes that there are. Guards cache servers against what they would turn away. */
  private final RequestNames names;

  private final RequestAdmission gate;
  private final MetaLinePeek glance;

  /** The write whose value is being read, and how many bytes with its CRLF are still to come. */
  private ClientCommand write;

  /** The value of that write, null where it is read and dropped. */
  private MetaPayload value;

  private int missing;
  private boolean lost;

  /** Whether the gate has admitted the line that is read next. */
  private boolean asked;

  MetaCommandDecoder(MemoryBudget budget, RequestNames names, RequestAdmission gate) {
    this.budget = budget;
    this.names = names;
    this.gate = gate;
    this.glance = new MetaLinePeek(names);
  }

  /** Whether a command has begun and not ended. */
  @Override
  public boolean isMidCommand() {
    return write != null || actualReadableBytes() > 0;
  }

  @Override
  public boolean isReadingValue() {
    return write != null;
  }

  /** Whether nothing more is taken: what comes can no longer be told apart. */
  @Override
  public boolean isDesynchronized() {
    return lost;
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
    if (lost) {
      in.skipBytes(in.readableBytes());
      return;
    }
    try {
      if (write != null) {
        readValue(in, out);
        return;
      }
      if (!asked && gate.mayReject()) {
        ClientCommand refused = refuse(ctx.alloc(), in);
        if (refused != null) {
          out.add(refused);
        }
        if (refused != null || write != null) {
          return;
        }
      }
      MetaLine line = MetaLine.read(in);
      if (line != null) {
        ClientCommand command = parse(ctx.alloc(), line);
        asked = false;
        if (write == null) {
          out.add(command);
        }
      }
    } catch (MetaLine.MalformedException e) {
      dropWrite();
      lost = true;
      // Nothing after this is looked at; a message without a byte read would be a decoder's
      // fault.
      in.skipBytes(in.readableBytes());
      out.add(error(ctx.alloc(), "CLIENT_ERROR " + e.getMessage(), true));
    }
  }

  /**
   * Takes lines off the buffer for as long as they are requests that the gate refuses: the answers
   * to reads, all of them in one buffer, null if there are none. A refused write ends them: its
   * value is read and dropped before it is answered.
   */
  private ClientCommand refuse(ByteBufAllocator allocator, ByteBuf in) {
    ByteBuf answers = null;
    Rejections refused = Rejections.NONE;
    while (write == null) {
      int start = in.readerIndex();
      int newline =
          in.bytesBefore(Math.min(in.readableBytes(), MetaLine.MAX_LINE_BYTES), (byte) '\n');
      if (newline < 1
          || in.getByte(start + newline - 1) != '\r'
          || !glance.read(in, start, start + newline - 1)) {
        break;
      }
      long verdict = gate.admit(glance.serviceClass, glance.tenant, glance.subject, glance.repeat);
      if (verdict == RequestAdmission.ADMITTED) {
        asked = true;
        break;
      }
      long advice = verdict & ~RequestAdmission.RETRY;
      int repeat = verdict == advice ? 0 : 1;
      in.skipBytes(newline + 1);
      if (glance.length < 0) {
        answers = answers == null ? allocator.buffer(MetaReplies.BUSY_LENGTH) : answers;
        MetaReplies.busy(answers, advice);
        refused = new Rejections(refused.count() + 1, refused.retries() + repeat, advice);
      } else {
        ByteBuf answer = allocator.buffer(MetaReplies.BUSY_LENGTH);
        write =
            ClientCommand.rejected(
                MetaReplies.busy(answer, advice), new Rejections(1, repeat, advice));
        value = null;
        missing = glance.length + 2;
      }
    }
    return answers == null ? null : ClientCommand.rejected(answers, refused);
  }

  private void readValue(ByteBuf in, List<Object> out) throws MetaLine.MalformedException {
    int bytes = Math.min(in.readableBytes(), missing - 2);
    if (bytes > 0) {
      if (value != null) {
        value.append(in, bytes);
      } else {
        in.skipBytes(bytes);
      }
      missing -= bytes;
    }
    if (missing == 2 && in.readableBytes() >= 2) {
      MetaLine.readEnd(in);
      ClientCommand whole = write;
      if (value != null) {
        value.end();
      }
      write = null;
      value = null;
      out.add(whole);
    }
  }

  private ClientCommand parse(ByteBufAllocator allocator, MetaLine line)
      throws MetaLine.MalformedException {
    line.next();
    if (line.is("mn")) {
      return answer(allocator, "MN");
    }
    boolean sets = line.is("ms");
    if (!sets && !line.is("mg")) {
      return error(allocator, "ERROR", false);
    }
    String wrong = null;
    String key = null;
    if (line.next() && line.end() - line.start() <= MAX_KEY && visible(line)) {
      key = line.word(0);
    } else {
      wrong = "bad key";
    }
    int length = 0;
    if (sets) {
      // The length is needed even where all else is wrong: it tells where the next command is.
      length = line.next() ? line.number(line.start(), line.end()) : -1;
      if (length < 0 || length > MetaLine.MAX_VALUE) {
        throw new MetaLine.MalformedException("bad data length");
      }
    }
    ClientCommand command = flags(allocator, line, key, sets, wrong);
    if (sets) {
      if (command.payload() instanceof MetaPayload own) {
        value = own.reserve(allocator, length) ? own : null;
      }
      if (command.request() != null && value == null) {
        // Guards against more writes at once than there is memory for: this one is read and
        // dropped, and refused, which is true since it has never gone out.
        gate.rejectedAfterAdmission(command.request().serviceClass());
        command.release();
        command =
            ClientCommand.rejected(
                MetaReplies.line(allocator, "SERVER_ERROR busy"), new Rejections(1, 0, 0));
      }
      write = command;
      missing = length + 2;
    }
    return command;
  }

  private static ClientCommand answer(ByteBufAllocator allocator, String text) {
    return ClientCommand.answer(MetaReplies.line(allocator, text), false, false);
  }

  private static ClientCommand error(ByteBufAllocator allocator, String text, boolean lost) {
    return ClientCommand.answer(MetaReplies.line(allocator, text), true, lost);
  }

  private static boolean visible(MetaLine line) {
    return line.visible(line.start(), line.end());
  }

  private ClientCommand flags(
      ByteBufAllocator allocator, MetaLine line, String key, boolean sets, String wrong) {
    String id = null;
    int deadlineStart = 0;
    int deadlineEnd = 0;
    int deadline = -1;
    String serviceClass = null;
    int classPlace = -1;
    int tenantPlace = -1;
    String tenant = null;
    boolean repeat = false;
    double work = 0;
    double size = 0;
    while (line.next()) {
      if (!visible(line)) {
        wrong = "bad flag";
      } else if (line.flag() == 'O') {
        id = line.end() - line.start() - 1 <= MAX_ID ? line.word(1) : null;
      } else if (line.flag() == 'P') {
        int from = line.start() + 1;
        while (from < line.end()) {
          int to = from;
          while (to < line.end() && line.bytes[to] != ',') {
            to++;
          }
          int equals = from;
          while (equals < to && line.bytes[equals] != '=') {
            equals++;
          }
          int value = Math.min(equals + 1, to);
          switch (line.text(from, equals)) {
            case "c" -> {
              classPlace = names.classes().find(line.bytes, value, to);
              serviceClass = classPlace < 0 ? null : line.text(value, to);
            }
            case "t" -> {
              tenantPlace = names.tenants().find(line.bytes, value, to);
              tenant = line.text(value, to);
            }
            case "d" -> {
              deadlineStart = value;
              deadlineEnd = to;
              deadline = line.number(value, to);
            }
            case "r" -> repeat = line.number(value, to) == 1;
            case "h" -> work = Math.max(0, line.number(value, to)) / 1e6;
            case "size" -> size = Math.max(0, line.number(value, to));
            default -> {
              // Meant for the cache server, which gets all of them as they are.
            }
          }
          from = to + 1;
        }
      }
    }
    if (wrong == null && (id == null || id.isEmpty())) {
      wrong = "bad or missing id";
    } else if (wrong == null && serviceClass == null) {
      wrong = "bad or missing class";
    } else if (wrong == null && (deadline <= 0 || deadline > MAX_DEADLINE)) {
      wrong = "bad or missing deadline";
    }
    if (wrong != null) {
      return error(allocator, "CLIENT_ERROR " + wrong, false);
    }
    if (!asked) {
      // Admitted, since the gate would have been asked before: this tells it what comes.
      gate.admit(classPlace, tenantPlace, 0, repeat);
    }
    Request request =
        new Request(id, key, serviceClass, tenant, deadline / 1e3, work, size, repeat, sets);
    return ClientCommand.of(
        request, new MetaPayload(line.bytes, deadlineStart, deadlineEnd, budget));
  }

  private void dropWrite() {
    if (write != null) {
      write.release();
      write = null;
      value = null;
    }
  }

  @Override
  protected void handlerRemoved0(ChannelHandlerContext ctx) {
    dropWrite();
  }
}
