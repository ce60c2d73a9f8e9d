package shalepaddle.codec.meta;

import shalepaddle.engine.MemoryBudget;
import shalepaddle.model.Request;

/**
 * Parses the key and flags of command lines. Belongs to one decoder; the getters refer to the line
 * that was parsed last.
 */
final class MetaRequestParser {
  /** Maximum length of a key, as in memcached. */
  private static final int MAX_KEY_BYTES = 250;

  private static final int MAX_ID_BYTES = 64;

  /** Longer deadlines are rejected, to bound how long a request can occupy memory. */
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

  /** Resets the parser and parses the key, which is the next token of the line. */
  void parseKey(MetaLine line) {
    boolean isKeyValid =
        line.nextToken()
            && line.tokenEnd() - line.tokenStart() <= MAX_KEY_BYTES
            && line.isTokenPrintable();
    key = isKeyValid ? line.tokenFrom(0) : null;
    error = isKeyValid ? null : "bad key";
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

  /** Parses the rest of the line. */
  void parseFlags(MetaLine line) {
    while (line.nextToken()) {
      if (!line.isTokenPrintable()) {
        error = "bad flag";
      } else if (line.flag() == WireNames.REQUEST_ID) {
        id = line.tokenEnd() - line.tokenStart() - 1 <= MAX_ID_BYTES ? line.tokenFrom(1) : null;
      } else if (line.flag() == WireNames.PROPERTIES) {
        parseProperties(line);
      }
    }
    if (error == null) {
      error = requiredPartError();
    }
  }

  /** The error if a required part of the request is missing or invalid, otherwise null. */
  private String requiredPartError() {
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
    int propertyStart = line.tokenStart() + 1;
    while (propertyStart < line.tokenEnd()) {
      int propertyEnd = line.indexOf(WireNames.PROPERTY_SEPARATOR, propertyStart, line.tokenEnd());
      int nameEnd = line.indexOf(WireNames.PROPERTY_VALUE_SEPARATOR, propertyStart, propertyEnd);
      int valueStart = Math.min(nameEnd + 1, propertyEnd);
      if (nameEnd - propertyStart == 1) {
        parseProperty(line, line.charAt(propertyStart), valueStart, propertyEnd);
      } else if (line.matches(propertyStart, nameEnd, WireNames.VALUE_SIZE)) {
        sizeBytes = Math.max(0, line.parseNumber(valueStart, propertyEnd));
      }
      propertyStart = propertyEnd + 1;
    }
  }

  private void parseProperty(MetaLine line, char name, int fromIndex, int toIndex) {
    switch (name) {
      case WireNames.SERVICE_CLASS -> {
        serviceClassIndex = names.classes().find(line.bytes(), fromIndex, toIndex);
        serviceClass = serviceClassIndex < 0 ? null : line.text(fromIndex, toIndex);
      }
      case WireNames.TENANT -> {
        tenantIndex = names.tenants().find(line.bytes(), fromIndex, toIndex);
        tenant = line.text(fromIndex, toIndex);
      }
      case WireNames.DEADLINE_MILLIS -> {
        deadlineStart = fromIndex;
        deadlineEnd = toIndex;
        deadlineMillis = line.parseNumber(fromIndex, toIndex);
      }
      case WireNames.RETRY -> isRetry = line.parseNumber(fromIndex, toIndex) == 1;
      case WireNames.WORK_MICROS ->
          workSeconds = Math.max(0, line.parseNumber(fromIndex, toIndex)) / MICROS_PER_SECOND;
      default -> {
        // Other properties are meant for the cache server, which receives all of them unchanged.
      }
    }
  }

  /** The error to report to the client, null if the line is a valid request. */
  String error() {
    return error;
  }

  /** The index of the class in the settings. */
  int serviceClassIndex() {
    return serviceClassIndex;
  }

  /** The index of the tenant in the settings, -1 if it is unknown. */
  int tenantIndex() {
    return tenantIndex;
  }

  boolean isRetry() {
    return isRetry;
  }

  /** The request. Only valid for a line without an error. */
  Request createRequest(boolean isWrite) {
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

  /** The payload to forward. Only valid for a line without an error. */
  MetaPayload createPayload(MetaLine line, MemoryBudget budget) {
    return new MetaPayload(line.bytes(), deadlineStart, deadlineEnd, budget);
  }
}
