package shalepaddle.sim;

import com.fasterxml.jackson.core.JsonEncoding;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.MinimalPrettyPrinter;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import shalepaddle.policy.RequestRouter;
import shalepaddle.settings.FormatException;
import shalepaddle.settings.JsonObject;
import shalepaddle.settings.SettingsFormat;

/**
 * Hosts many request routers on the simulator's wire; they share nothing. One thread reads, decides
 * and writes.
 */
public final class SimHost {
  /** A router and the writer of its actions. */
  private record Instance(RequestRouter router, ActionWriter actions) {}

  private final BufferedReader in;
  private final JsonGenerator out;
  private final Map<Long, Instance> instances = new HashMap<>();
  private boolean inBatch;
  private boolean sawBatch;
  private double now;
  private long sequence;

  /** A host that reads batches from {@code in} and writes replies to {@code out}. */
  public SimHost(InputStream in, OutputStream out) throws IOException {
    this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
    this.out = new JsonFactory().createGenerator(out, JsonEncoding.UTF8);
    this.out.setPrettyPrinter(new MinimalPrettyPrinter(""));
  }

  /** Answers batches until the input ends. */
  public void run() throws IOException, FormatException {
    long number = 0;
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      number++;
      if (line.isBlank()) {
        continue;
      }
      try {
        handle(JsonObject.parse(line));
      } catch (FormatException e) {
        throw new FormatException("line " + number + ": " + e.getMessage());
      }
    }
    if (inBatch) {
      throw new FormatException("line " + number + ": input ends inside a batch");
    }
  }

  private void handle(JsonObject message) throws IOException, FormatException {
    String type = message.requiredText("type");
    if (type.equals("BATCH")) {
      begin(message);
      return;
    }
    if (!inBatch) {
      throw new FormatException(type + " message outside a batch");
    }
    if (type.equals("OVER_TO_YOU")) {
      inBatch = false;
      out.writeStartObject();
      out.writeStringField("type", "DONE");
      out.writeNumberField("seq", sequence);
      out.writeEndObject();
      out.writeRaw('\n');
      out.flush();
      return;
    }
    event(type, message);
  }

  private void begin(JsonObject message) throws FormatException {
    if (inBatch) {
      throw new FormatException("BATCH message inside a batch");
    }
    double time = message.requiredNumber("time");
    long seq = message.requiredInteger("seq");
    if (sawBatch && (time < now || seq <= sequence)) {
      throw new FormatException("BATCH message out of order");
    }
    now = time;
    sequence = seq;
    inBatch = true;
    sawBatch = true;
  }

  private void event(String type, JsonObject message) throws FormatException {
    long number = message.requiredInteger("i");
    if (type.equals("LAUNCH")) {
      launch(number, message);
      return;
    }
    Instance instance = instances.get(number);
    if (instance == null) {
      throw new FormatException(type + " message for unknown instance " + number);
    }
    if (type.equals("DETACH")) {
      instances.remove(number);
    } else {
      event(type, message, instance.router(), instance.actions());
    }
  }

  private void launch(long number, JsonObject message) throws FormatException {
    long seed = message.requiredInteger("nonce64");
    ActionWriter actions = new ActionWriter(out, number);
    var settings = SettingsFormat.read(message.requiredNested("conf"));
    guarded(
        actions,
        () ->
            instances.put(
                number, new Instance(new RequestRouter(settings, seed, actions), actions)));
  }

  private void event(String type, JsonObject message, RequestRouter router, ActionWriter actions)
      throws FormatException {
    switch (type) {
      case "SYNC" -> {
        var update = Dialect.membership(message);
        guarded(actions, () -> router.onMembershipUpdate(now, update));
      }
      case "REQUEST" -> {
        var request = Dialect.request(message);
        guarded(actions, () -> router.onRequest(now, request));
      }
      case "FLOWING" -> {
        String id = message.requiredText("handle");
        int attempt = (int) message.number("trial", 0);
        guarded(actions, () -> router.onStreamStarted(now, id, attempt));
      }
      case "FINISHED" -> {
        var outcome = Dialect.outcome(message);
        guarded(actions, () -> router.onOutcome(now, outcome));
      }
      case "DROPPED" -> {
        String id = message.requiredText("handle");
        guarded(actions, () -> router.onClientDisconnected(now, id));
      }
      case "DEADLINE_HIT" -> {
        long token = message.requiredInteger("key-back");
        guarded(actions, () -> router.onTimer(now, token));
      }
      case "HEALTH_RESULT" -> {
        // The policy sends no health checks: trial requests take their place.
        message.requiredInteger("server");
        Dialect.result(message);
      }
      case "WHISPER" ->
          // Routers exchange no gossip: each decides by its own observations.
          message.requiredInteger("by");
      default -> throw new FormatException("unknown message type '" + type + "'");
    }
  }

  /** Reports an exception of the policy as the wire provides. */
  private static void guarded(ActionWriter actions, Runnable step) {
    try {
      step.run();
    } catch (RuntimeException e) {
      StackTraceElement[] trace = e.getStackTrace();
      actions.exception(e + (trace.length > 0 ? " at " + trace[0] : ""));
    }
  }
}
