package shalepaddle.hotrestart;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import shalepaddle.membership.MemberList;
import shalepaddle.model.ServerEntry;
import shalepaddle.settings.FormatException;
import shalepaddle.settings.JsonObject;

/** The file format of a {@link ProcessState}: JSON in a {@link Frame}. */
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
      json.writeNumberField("clients", state.clientConnections());
      json.writeNumberField("connections", state.serverConnections());
      json.writeArrayFieldStart("words");
      for (ServerExclusion exclusion : state.exclusions()) {
        json.writeStartObject();
        json.writeNumberField("server", exclusion.server());
        json.writeBooleanField("out", exclusion.isExcluded());
        json.writeNumberField("at", exclusion.commandedAtMillis());
        json.writeEndObject();
      }
      json.writeEndArray();
      if (state.memberList() != null) {
        json.writeNumberField("version", state.memberList().version());
        json.writeArrayFieldStart("servers");
        for (MemberList.Member member : state.memberList().members()) {
          writeMember(json, member);
        }
        json.writeEndArray();
      }
      json.writeEndObject();
    }
    return Frame.wrap(VERSION, text.toString());
  }

  private static void writeMember(JsonGenerator json, MemberList.Member member) throws IOException {
    ServerEntry entry = member.entry();
    InetSocketAddress address = (InetSocketAddress) member.address();
    json.writeStartObject();
    json.writeNumberField("server", entry.id());
    json.writeStringField("zone", entry.zone());
    json.writeStringField("kind", entry.kind());
    json.writeNumberField("cell", entry.cell());
    json.writeStringField("state", entry.state().name());
    json.writeNumberField("weight", entry.weight());
    json.writeNumberField("started", entry.startedAtSeconds());
    json.writeStringField("addr", address.getAddress().getHostAddress() + ":" + address.getPort());
    json.writeEndObject();
  }

  static ProcessState read(byte[] file) throws FormatException {
    JsonObject json = JsonObject.parse(Frame.unwrap(VERSION, file));
    List<ServerExclusion> exclusions = new ArrayList<>();
    for (JsonObject exclusion : json.objects("words")) {
      exclusions.add(
          new ServerExclusion(
              exclusion.requiredInteger("server"),
              exclusion.flag("out"),
              exclusion.requiredInteger("at")));
    }
    try {
      return new ProcessState(
          json.requiredInteger("pid"),
          ProcessState.Stage.valueOf(json.requiredText("stage")),
          (int) json.requiredInteger("clients"),
          (int) json.requiredInteger("connections"),
          List.copyOf(exclusions),
          json.has("servers") ? readList(json) : null);
    } catch (IllegalArgumentException e) {
      throw new FormatException(e.getMessage());
    }
  }

  private static MemberList readList(JsonObject json) throws FormatException {
    List<MemberList.Member> members = new ArrayList<>();
    for (JsonObject server : json.objects("servers")) {
      members.add(
          new MemberList.Member(
              new ServerEntry(
                  server.requiredInteger("server"),
                  server.requiredText("zone"),
                  server.requiredText("kind"),
                  (int) server.requiredInteger("cell"),
                  ServerEntry.State.valueOf(server.requiredText("state")),
                  server.requiredNumber("weight"),
                  server.requiredNumber("started")),
              MemberList.parseAddress(server.requiredText("addr"))));
    }
    return new MemberList(true, json.requiredInteger("version"), List.copyOf(members));
  }
}
