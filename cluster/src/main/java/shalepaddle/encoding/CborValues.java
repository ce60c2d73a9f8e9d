package shalepaddle.encoding;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/** Values one behind the other, in CBOR (RFC 8949), as arrays within arrays. */
public final class CborValues {
  private static final CBORFactory FACTORY = new CBORFactory();

  private CborValues() {}

  /** Writes values. */
  public static final class Writer {
    private final CBORGenerator out;

    private Writer(CBORGenerator out) {
      this.out = out;
    }

    /** A whole number. */
    public Writer put(long value) throws IOException {
      out.writeNumber(value);
      return this;
    }

    /** A word; null is a value, too. */
    public Writer put(String value) throws IOException {
      if (value == null) {
        out.writeNull();
      } else {
        out.writeString(value);
      }
      return this;
    }

    /** Yes or no. */
    public Writer put(boolean value) throws IOException {
      out.writeBoolean(value);
      return this;
    }

    /** Bytes. */
    public Writer put(byte[] value) throws IOException {
      out.writeBinary(value);
      return this;
    }

    /** Values of one kind, in an array of their own. */
    public <T> Writer putList(Iterable<T> values, Encoder<T> form) throws IOException {
      out.writeStartArray();
      for (T value : values) {
        out.writeStartArray();
        form.encode(value, this);
        out.writeEndArray();
      }
      out.writeEndArray();
      return this;
    }
  }

  /** How a value is written. */
  @FunctionalInterface
  public interface Encoder<T> {
    void encode(T value, Writer out) throws IOException;
  }

  /** Reads values in the order in which they were written. */
  public static final class Reader {
    private final CBORParser in;

    private Reader(CBORParser in) {
      this.in = in;
    }

    private JsonToken next(JsonToken... wanted) throws IOException {
      JsonToken token = in.nextToken();
      for (JsonToken one : wanted) {
        if (token == one) {
          return token;
        }
      }
      throw new IOException("a value of another kind than was written there: " + token);
    }

    /** A whole number. */
    public long readLong() throws IOException {
      next(JsonToken.VALUE_NUMBER_INT);
      return in.getLongValue();
    }

    /** A whole number of fewer bits. */
    public int readInt() throws IOException {
      next(JsonToken.VALUE_NUMBER_INT);
      return in.getIntValue();
    }

    /** A word, or null. */
    public String readText() throws IOException {
      return next(JsonToken.VALUE_STRING, JsonToken.VALUE_NULL) == JsonToken.VALUE_NULL
          ? null
          : in.getText();
    }

    /** Yes or no. */
    public boolean readBoolean() throws IOException {
      return next(JsonToken.VALUE_TRUE, JsonToken.VALUE_FALSE) == JsonToken.VALUE_TRUE;
    }

    /** Bytes. */
    public byte[] readBytes() throws IOException {
      next(JsonToken.VALUE_EMBEDDED_OBJECT);
      return in.getBinaryValue();
    }

    /** Values of one kind; what a later version has put behind the known of each is passed over. */
    public <T> List<T> readList(Decoder<T> parse) throws IOException {
      next(JsonToken.START_ARRAY);
      List<T> all = new ArrayList<>();
      while (next(JsonToken.START_ARRAY, JsonToken.END_ARRAY) == JsonToken.START_ARRAY) {
        all.add(parse.decode(this));
        passOver();
      }
      return List.copyOf(all);
    }

    /** To the end of the array that is open. */
    private void passOver() throws IOException {
      for (JsonToken token = in.nextToken(); token != JsonToken.END_ARRAY; token = in.nextToken()) {
        if (token == null) {
          throw new IOException("ends in the middle");
        }
        in.skipChildren();
      }
    }
  }

  /** How a value is read. */
  @FunctionalInterface
  public interface Decoder<T> {
    T decode(Reader in) throws IOException;
  }

  /** The bytes of a value of this form. */
  public static <T> byte[] encode(T value, Encoder<T> form) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (CBORGenerator out = FACTORY.createGenerator(bytes)) {
      out.writeStartArray();
      form.encode(value, new Writer(out));
      out.writeEndArray();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  /**
   * The value in these bytes.
   *
   * @throws IOException if it is of another form, or cut short
   */
  public static <T> T decode(byte[] bytes, Decoder<T> parse) throws IOException {
    try (CBORParser in = FACTORY.createParser(bytes)) {
      Reader reader = new Reader(in);
      reader.next(JsonToken.START_ARRAY);
      T value = parse.decode(reader);
      reader.passOver();
      return value;
    } catch (IllegalArgumentException e) {
      throw new IOException(e);
    }
  }
}
