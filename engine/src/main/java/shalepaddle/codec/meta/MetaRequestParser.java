package shalepaddle.codec.meta;

import shalepaddle.engine.MemoryBudget;
import shalepaddle.model.Request;

/**
 * Parses the key and flags of one command line after another. Belongs to one decoder; its getters
 * tell of the line that was parsed last.
 */
final class MetaRequestParser {
  /** Longest key, as in memcached. */
  private static final int MAX_KEY_BYTES = 250;

  private static final int MAX_ID_BYTES = 64;

  /** Longer deadlines are rejected: this bounds for how long a request can use memory. */
  private static final int MAX_DEADLINE_MILLIS = 60_000;

  private static final double MILLIS_PER_SECOND = 1e3;
  private static final double MICROS_PER_SECOND = 1e6;

  private final RequestNames names;
  private String error;
  private String key;
  private String id;
  private String serviceClass;
  private int serviceClassIndex;
  private String tenant;
  private int tenantIndex;
  private int deadlineMillis;
  private int deadlineStart;
  private int deadlineEnd;
  private boolean isRetry;
  private double workSeconds;
  private double sizeBytes;

  MetaRequestParser(RequestNames names) {
    this.names = names;
  }

  /** Begins a line: reads the key, which is its next token. */
  void parseKey(MetaLine line) {
    boolean isValid =
        line.next() && line.end() - line.start() <= MAX_KEY_BYTES && line.isTokenPrintable();
    key = isValid ? line.token(0) : null;
    error = isValid ? null : "bad key";
    id = null;
    serviceClass = null;
    serviceClassIndex = -1;
    tenant = null;
    tenantIndex = -1;
    deadlineMillis = -1;
    deadlineStart = 0;
    deadlineEnd = 0;
    isRetry = false;
    workSeconds = 0;
    sizeBytes = 0;
  }

  /** Reads the rest of the line. */
  void parseFlags(MetaLine line) {
    while (line.next()) {
      if (!line.isTokenPrintable()) {
        error = "bad flag";
      } else if (line.flag() == WireNames.REQUEST_ID) {
        id = line.end() - line.start() - 1 <= MAX_ID_BYTES ? line.token(1) : null;
      } else if (line.flag() == WireNames.PROPERTIES) {
        parseProperties(line);
      }
    }
    if (error == null) {
      error = missing();
    }
  }

  /** What the request lacks, null if it is complete. */
  private String missing() {
    if (id == null || id.isEmpty()) {
      return "bad or missing id";
    }
    if (serviceClass == null) {
      return "bad or missing class";
    }
    boolean isDeadlineValid = deadlineMillis > 0 && deadlineMillis <= MAX_DEADLINE_MILLIS;
    return isDeadlineValid ? null : "bad or missing deadline";
  }

  private void parseProperties(MetaLine line) {
    int from = line.start() + 1;
    while (from < line.end()) {
      int to = line.indexOf(WireNames.PROPERTY_SEPARATOR, from, line.end());
      int nameEnd = line.indexOf(WireNames.PROPERTY_VALUE, from, to);
      int value = Math.min(nameEnd + 1, to);
      if (nameEnd - from == 1) {
        parseProperty(line, line.charAt(from), value, to);
      } else if (line.matches(from, nameEnd, WireNames.VALUE_SIZE)) {
        sizeBytes = Math.max(0, line.number(value, to));
      }
      from = to + 1;
    }
  }

  private void parseProperty(MetaLine line, char name, int from, int to) {
    switch (name) {
      case WireNames.SERVICE_CLASS -> {
        serviceClassIndex = names.classes().find(line.bytes(), from, to);
        serviceClass = serviceClassIndex < 0 ? null : line.text(from, to);
      }
      case WireNames.TENANT -> {
        tenantIndex = names.tenants().find(line.bytes(), from, to);
        tenant = line.text(from, to);
      }
      case WireNames.DEADLINE_MILLIS -> {
        deadlineStart = from;
        deadlineEnd = to;
        deadlineMillis = line.number(from, to);
      }
      case WireNames.RETRY -> isRetry = line.number(from, to) == 1;
      case WireNames.WORK_MICROS ->
          workSeconds = Math.max(0, line.number(from, to)) / MICROS_PER_SECOND;
      default -> {
        // Meant for the cache server, which gets all of them unchanged.
      }
    }
  }

  /** What is wrong with the line, for its client; null if it is a valid request. */
  String error() {
    return error;
  }

  /** The index of the class in the settings. */
  int serviceClassIndex() {
    return serviceClassIndex;
  }

  /** The index of the tenant in the settings, -1 for none that is known. */
  int tenantIndex() {
    return tenantIndex;
  }

  boolean isRetry() {
    return isRetry;
  }

  /** The request; only for a line without an error. */
  Request request(boolean isWrite) {
    return new Request(
        id,
        key,
        serviceClass,
        tenant,
        deadlineMillis / MILLIS_PER_SECOND,
        workSeconds,
        sizeBytes,
        isRetry,
        isWrite);
  }

  /** What is forwarded of the line; only for a line without an error. */
  MetaPayload payload(MetaLine line, MemoryBudget budget) {
    return new MetaPayload(line.bytes(), deadlineStart, deadlineEnd, budget);
  }
}
