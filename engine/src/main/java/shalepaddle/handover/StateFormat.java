package shalepaddle.handover;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;
import shalepaddle.membership.MemberList;
import shalepaddle.model.ServerEntry;
import shalepaddle.settings.FormatException;
import shalepaddle.settings.JsonObject;

/**
 * The form of a {@link ProcessState} in a file: a line with the format's version, the length of the
 * rest and its CRC-32, then JSON. A file that is cut short, of another version or damaged is told
 * from a whole one before any of it is believed.
 */
final class StateFormat {
  private static final String VERSION = "shalepaddle-process-1";
  private static final JsonFactory FACTORY = new JsonFactory();

  private StateFormat() {}

  static byte[] write(ProcessState state) throws IOException {
    StringWriter text = new StringWriter();
    try (JsonGenerator json = FACTORY.createGenerator(text)) {
      json.writeStartObject();
      json.writeNumberField("pid", state.pid());
      json.writeStringField("stage", state.stage().name());
      json.writeNumberField("clients", state.clients());
      json.writeNumberField("connections", state.serverConnections());
      json.writeArrayFieldStart("words");
      for (Word word : state.words()) {
        json.writeStartObject();
        json.writeNumberField("server", word.server());
        json.writeBooleanField("out", word.out());
        json.writeNumberField("at", word.atMillis());
        json.writeEndObject();
      }
      json.writeEndArray();
      if (state.list() != null) {
        json.writeNumberField("version", state.list().version());
        json.writeArrayFieldStart("servers");
        for (MemberList.Member member : state.list().members()) {
          write(json, member);
        }
        json.writeEndArray();
      }
      json.writeEndObject();
    }
    byte[] body = text.toString().getBytes(StandardCharsets.UTF_8);
    String head = VERSION + " " + body.length + " " + Long.toHexString(checksum(body, 0)) + "\n";
    byte[] start = head.getBytes(StandardCharsets.US_ASCII);
    byte[] whole = new byte[start.length + body.length];
    System.arraycopy(start, 0, whole, 0, start.length);
    System.arraycopy(body, 0, whole, start.length, body.length);
    return whole;
  }

  private static void write(JsonGenerator json, MemberList.Member member) throws IOException {
    ServerEntry entry = member.entry();
    InetSocketAddress address = (InetSocketAddress) member.address();
    json.writeStartObject();
    json.writeNumberField("server", entry.id());
    json.writeStringField("zone", entry.zone());
    json.writeStringField("kind", entry.kind());
    json.writeNumberField("cell", entry.cell());
    json.writeStringField("state", entry.state().name());
    json.writeNumberField("weight", entry.weight());
    json.writeNumberField("started", entry.startedAt());
    json.writeStringField("addr", address.getAddress().getHostAddress() + ":" + address.getPort());
    json.writeEndObject();
  }

  private static long checksum(byte[] bytes, int from) {
    CRC32 crc = new CRC32();
    crc.update(bytes, from, bytes.length - from);
    return crc.getValue();
  }

  static ProcessState read(byte[] whole) throws FormatException {
    int end = 0;
    while (end < whole.length && whole[end] != '\n') {
      end++;
    }
    String[] head = new String(whole, 0, end, StandardCharsets.US_ASCII).split(" ");
    if (head.length != 3 || !head[0].equals(VERSION)) {
      throw new FormatException("of another version, or none");
    }
    if (!head[1].equals(Integer.toString(whole.length - end - 1))
        || !head[2].equals(Long.toHexString(checksum(whole, end + 1)))) {
      throw new FormatException("cut short or damaged");
    }
    JsonObject json =
        JsonObject.parse(
            new String(whole, end + 1, whole.length - end - 1, StandardCharsets.UTF_8));
    List<Word> words = new ArrayList<>();
    for (JsonObject word : json.objects("words")) {
      words.add(
          new Word(word.requiredInteger("server"), word.flag("out"), word.requiredInteger("at")));
    }
    try {
      return new ProcessState(
          json.requiredInteger("pid"),
          ProcessState.Stage.valueOf(json.requiredText("stage")),
          (int) json.requiredInteger("clients"),
          (int) json.requiredInteger("connections"),
          List.copyOf(words),
          json.has("servers") ? list(json) : null);
    } catch (IllegalArgumentException e) {
      throw new FormatException(e.getMessage());
    }
  }

  private static MemberList list(JsonObject json) throws FormatException {
    List<MemberList.Member> members = new ArrayList<>();
    for (JsonObject line : json.objects("servers")) {
      members.add(
          new MemberList.Member(
              new ServerEntry(
                  line.requiredInteger("server"),
                  line.requiredText("zone"),
                  line.requiredText("kind"),
                  (int) line.requiredInteger("cell"),
                  ServerEntry.State.valueOf(line.requiredText("state")),
                  line.requiredNumber("weight"),
                  line.requiredNumber("started")),
              MemberList.address(line.requiredText("addr"))));
    }
    return new MemberList(true, json.requiredInteger("version"), List.copyOf(members));
  }
}
