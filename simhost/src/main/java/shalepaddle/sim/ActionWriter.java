package shalepaddle.sim;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import shalepaddle.policy.RoutingActions;

/** Writes the actions of one instance as messages of the simulator's wire. */
final class ActionWriter implements RoutingActions {
  private final JsonGenerator out;
  private final long instance;

  ActionWriter(JsonGenerator out, long instance) {
    this.out = out;
    this.instance = instance;
  }

  /** The fields of one action. */
  private interface Fields {
    void write() throws IOException;
  }

  private void action(String type, Fields fields) {
    try {
      out.writeStartObject();
      out.writeStringField("type", type);
      out.writeNumberField("i", instance);
      fields.write();
      out.writeEndObject();
      out.writeRaw('\n');
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void send(String requestId, long server, double withinSeconds) {
    // The simulator sends at once.
    action(
        "PASS_ON",
        () -> {
          out.writeStringField("handle", requestId);
          out.writeNumberField("server", server);
        });
  }

  @Override
  public void cancel(String requestId, int attempt) {
    action(
        "REVOKE",
        () -> {
          out.writeStringField("handle", requestId);
          out.writeNumberField("trial", attempt);
        });
  }

  @Override
  public void reject(String requestId, double retryAfterSeconds) {
    action(
        "BUSY",
        () -> {
          out.writeStringField("handle", requestId);
          if (retryAfterSeconds > 0) {
            out.writeNumberField("cool-down", retryAfterSeconds);
          }
        });
  }

  @Override
  public void fail(String requestId) {
    action("ERROR", () -> out.writeStringField("handle", requestId));
  }

  @Override
  public void scheduleTimer(long token, double delaySeconds) {
    action(
        "WAKE_ME",
        () -> {
          out.writeNumberField("key-back", token);
          out.writeNumberField("wait", delaySeconds);
        });
  }

  @Override
  public void subscribe(boolean on) {
    action("SUBSCRIBE", () -> out.writeBooleanField("active", on));
  }

  @Override
  public void closeIdleConnections(long server) {
    action("SHUT_IDLE", () -> out.writeNumberField("server", server));
  }

  /** Reports that the policy threw an exception. */
  void exception(String text) {
    action("EXCEPTION", () -> out.writeStringField("text", text));
  }
}
