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
 * Hosts many independent request routers for a simulator, which sends events and receives actions
 * as lines of JSON. A single thread reads, decides and writes.
 */
public final class SimHost {
  /** A hosted router and the writer of its actions. */
  private record Instance(RequestRouter router, ActionWriter actions) {}

  private final BufferedReader in;
  private final JsonGenerator out;
  private final Map<Long, Instance> instances = new HashMap<>();
  private boolean isInBatch;
  private boolean hasSeenBatch;
  private double nowSeconds;
  private long lastSequence;

  /** Creates a host that reads batches from {@code in} and writes replies to {@code out}. */
  public SimHost(InputStream in, OutputStream out) throws IOException {
    this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
    this.out = new JsonFactory().createGenerator(out, JsonEncoding.UTF8);
    this.out.setPrettyPrinter(new MinimalPrettyPrinter(""));
  }

  /** Processes batches until the input ends. */
  public void run() throws IOException, FormatException {
    long lineNumber = 0;
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      lineNumber++;
      if (line.isBlank()) {
        continue;
      }
      try {
        handleMessage(JsonObject.parse(line));
      } catch (FormatException e) {
        throw new FormatException("line " + lineNumber + ": " + e.getMessage());
      }
    }
    if (isInBatch) {
      throw new FormatException("line " + lineNumber + ": input ends inside a batch");
    }
  }

  private void handleMessage(JsonObject message) throws IOException, FormatException {
    String type = message.requiredText("type");
    if (type.equals("BATCH")) {
      beginBatch(message);
      return;
    }
    if (!isInBatch) {
      throw new FormatException(type + " message outside a batch");
    }
    if (type.equals("OVER_TO_YOU")) {
      isInBatch = false;
      out.writeStartObject();
      out.writeStringField("type", "DONE");
      out.writeNumberField("seq", lastSequence);
      out.writeEndObject();
      out.writeRaw('\n');
      out.flush();
      return;
    }
    handleEvent(type, message);
  }

  private void beginBatch(JsonObject message) throws FormatException {
    if (isInBatch) {
      throw new FormatException("BATCH message inside a batch");
    }
    double timeSeconds = message.requiredNumber("time");
    long batchSequence = message.requiredInteger("seq");
    if (hasSeenBatch && (timeSeconds < nowSeconds || batchSequence <= lastSequence)) {
      throw new FormatException("BATCH message out of order");
    }
    nowSeconds = timeSeconds;
    lastSequence = batchSequence;
    isInBatch = true;
    hasSeenBatch = true;
  }

  private void handleEvent(String type, JsonObject message) throws FormatException {
    long instanceNumber = message.requiredInteger("i");
    if (type.equals("LAUNCH")) {
      launchInstance(instanceNumber, message);
      return;
    }
    Instance instance = instances.get(instanceNumber);
    if (instance == null) {
      throw new FormatException(type + " message for unknown instance " + instanceNumber);
    }
    if (type.equals("DETACH")) {
      instances.remove(instanceNumber);
    } else {
      handleEvent(type, message, instance.router(), instance.actions());
    }
  }

  private void launchInstance(long instanceNumber, JsonObject message) throws FormatException {
    long seed = message.requiredInteger("nonce64");
    ActionWriter actions = new ActionWriter(out, instanceNumber);
    var settings = SettingsFormat.read(message.requiredNested("conf"));
    reportExceptions(
        actions,
        () ->
            instances.put(
                instanceNumber, new Instance(new RequestRouter(settings, seed, actions), actions)));
  }

  private void handleEvent(
      String type, JsonObject message, RequestRouter router, ActionWriter actions)
      throws FormatException {
    switch (type) {
      case "SYNC" -> {
        var update = EventReader.readMembershipUpdate(message);
        reportExceptions(actions, () -> router.onMembershipUpdate(nowSeconds, update));
      }
      case "REQUEST" -> {
        var request = EventReader.readRequest(message);
        reportExceptions(actions, () -> router.onRequest(nowSeconds, request));
      }
      case "FLOWING" -> {
        String id = message.requiredText("handle");
        int attempt = (int) message.number("trial", 0);
        reportExceptions(actions, () -> router.onStreamStarted(nowSeconds, id, attempt));
      }
      case "FINISHED" -> {
        var outcome = EventReader.readOutcome(message);
        reportExceptions(actions, () -> router.onOutcome(nowSeconds, outcome));
      }
      case "DROPPED" -> {
        String id = message.requiredText("handle");
        reportExceptions(actions, () -> router.onClientDisconnected(nowSeconds, id));
      }
      case "DEADLINE_HIT" -> {
        long token = message.requiredInteger("key-back");
        reportExceptions(actions, () -> router.onTimer(nowSeconds, token));
      }
      case "HEALTH_RESULT" -> {
        // The message is only validated: the policy uses trial requests instead of health checks.
        message.requiredInteger("server");
        EventReader.readResult(message);
      }
      case "WHISPER" ->
          // The message is only validated: routers exchange no gossip.
          message.requiredInteger("by");
      default -> throw new FormatException("unknown message type '" + type + "'");
    }
  }

  /** Runs a step of the policy, and reports an exception of the step as an action. */
  private static void reportExceptions(ActionWriter actions, Runnable step) {
    try {
      step.run();
    } catch (RuntimeException e) {
      StackTraceElement[] stackTrace = e.getStackTrace();
      actions.reportException(e + (stackTrace.length > 0 ? " at " + stackTrace[0] : ""));
    }
  }
}
