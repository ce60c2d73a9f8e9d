package shalepaddle.codec.meta;

/** The names of the protocol, by the terms of the code; see the table in the package comment. */
final class WireNames {
  static final String READ = "mg";
  static final String WRITE = "ms";
  static final String HEALTH_CHECK = "mn";
  static final String HEALTHY = "MN";

  /** Flag of a read that requests the value in the response. */
  static final String WANTS_VALUE = "v";

  static final char REQUEST_ID = 'O';
  static final char PROPERTIES = 'P';
  static final char PROPERTY_SEPARATOR = ',';
  static final char PROPERTY_VALUE_SEPARATOR = '=';

  static final char SERVICE_CLASS = 'c';
  static final char TENANT = 't';
  static final char DEADLINE_MILLIS = 'd';
  static final char IDEMPOTENCY_KEY = 'k';
  static final char RETRY = 'r';
  static final char WORK_MICROS = 'h';
  static final String VALUE_SIZE = "size";

  static final String VALUE = "VA";
  static final String STORED = "HD";
  static final String SERVER_ERROR = "SERVER_ERROR";
  static final String BUSY = "busy";
  static final String FAILED = "failed";
  static final String CLIENT_ERROR = "CLIENT_ERROR";
  static final String UNKNOWN_COMMAND = "ERROR";

  static final char RECEIPT = 'c';
  static final char CACHE_LOOKUP = 'h';
  static final String CACHE_HIT = "h1";
  static final char FETCH_PENDING = 'Z';
  static final char LOAD_REPORT = 'L';

  private WireNames() {}
}
