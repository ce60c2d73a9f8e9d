package shalepaddle.sim;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import shalepaddle.policy.RoutingActions;

/** Writes the actions of one instance as messages of the simulator's protocol. */
final class ActionWriter implements RoutingActions {
  private final JsonGenerator out;
  private final long instanceNumber;

  ActionWriter(JsonGenerator out, long instanceNumber) {
    this.out = out;
    this.instanceNumber = instanceNumber;
  }

  /** Writes the fields of one action. */
  private interface FieldWriter {
    void write() throws IOException;
  }

  private void writeAction(String type, FieldWriter fieldWriter) {
    try {
      out.writeStartObject();
      out.writeStringField("type", type);
      out.writeNumberField("i", instanceNumber);
      fieldWriter.write();
      out.writeEndObject();
      out.writeRaw('\n');
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void send(String requestId, long server, double withinSeconds) {
    // The simulator sends the attempt at once, so withinSeconds is not used.
    writeAction(
        "PASS_ON",
        () -> {
          out.writeStringField("handle", requestId);
          out.writeNumberField("server", server);
        });
  }

  @Override
  public void cancel(String requestId, int attempt) {
    writeAction(
        "REVOKE",
        () -> {
          out.writeStringField("handle", requestId);
          out.writeNumberField("trial", attempt);
        });
  }

  @Override
  public void reject(String requestId, double retryAfterSeconds) {
    writeAction(
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
    writeAction("ERROR", () -> out.writeStringField("handle", requestId));
  }

  @Override
  public void scheduleTimer(long token, double delaySeconds) {
    writeAction(
        "WAKE_ME",
        () -> {
          out.writeNumberField("key-back", token);
          out.writeNumberField("wait", delaySeconds);
        });
  }

  @Override
  public void subscribe(boolean isActive) {
    writeAction("SUBSCRIBE", () -> out.writeBooleanField("active", isActive));
  }

  @Override
  public void closeIdleConnections(long server) {
    writeAction("SHUT_IDLE", () -> out.writeNumberField("server", server));
  }

  /** Reports that the policy threw an exception. */
  void reportException(String text) {
    writeAction("EXCEPTION", () -> out.writeStringField("text", text));
  }
}
