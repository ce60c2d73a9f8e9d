package shalepaddle.encoding;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/** Writes and reads values as CBOR arrays (RFC 8949). */
public final class CborValues {
  private static final CBORFactory FACTORY = new CBORFactory();

  private CborValues() {}

  /** Writes the fields of a value, in order. */
  public static final class Writer {
    private final CBORGenerator out;

    private Writer(CBORGenerator out) {
      this.out = out;
    }

    /** Writes an integer of up to 64 bits. */
    public Writer put(long value) throws IOException {
      out.writeNumber(value);
      return this;
    }

    /** Writes a text, or null. */
    public Writer put(String value) throws IOException {
      if (value == null) {
        out.writeNull();
      } else {
        out.writeString(value);
      }
      return this;
    }

    /** Writes a boolean. */
    public Writer put(boolean value) throws IOException {
      out.writeBoolean(value);
      return this;
    }

    /** Writes bytes. */
    public Writer put(byte[] value) throws IOException {
      out.writeBinary(value);
      return this;
    }

    /** Writes an array of values, each as an array of its fields. */
    public <T> Writer putList(Iterable<T> values, Encoder<T> encoder) throws IOException {
      out.writeStartArray();
      for (T value : values) {
        out.writeStartArray();
        encoder.encode(value, this);
        out.writeEndArray();
      }
      out.writeEndArray();
      return this;
    }
  }

  /** Writes the fields of a value. */
  @FunctionalInterface
  public interface Encoder<T> {
    void encode(T value, Writer out) throws IOException;
  }

  /**
   * Reads the fields of a value, in the order in which they were written. Each method throws {@link
   * MalformedMessageException} if the field is of another type.
   */
  public static final class Reader {
    private final CBORParser in;

    private Reader(CBORParser in) {
      this.in = in;
    }

    private JsonToken readToken(String expected, JsonToken... expectedTokens) throws IOException {
      JsonToken token = in.nextToken();
      for (JsonToken expectedToken : expectedTokens) {
        if (token == expectedToken) {
          return token;
        }
      }
      throw new MalformedMessageException(expected, token);
    }

    /** Reads an integer of 64 bits. */
    public long readLong() throws IOException {
      readToken("an integer", JsonToken.VALUE_NUMBER_INT);
      return in.getLongValue();
    }

    /** Reads an integer of 32 bits. */
    public int readInt() throws IOException {
      readToken("an integer", JsonToken.VALUE_NUMBER_INT);
      return in.getIntValue();
    }

    /** Reads a text, or null. */
    public String readText() throws IOException {
      return readToken("a text", JsonToken.VALUE_STRING, JsonToken.VALUE_NULL)
              == JsonToken.VALUE_NULL
          ? null
          : in.getText();
    }

    /** Reads a boolean. */
    public boolean readBoolean() throws IOException {
      return readToken("a boolean", JsonToken.VALUE_TRUE, JsonToken.VALUE_FALSE)
          == JsonToken.VALUE_TRUE;
    }

    /** Reads bytes. */
    public byte[] readBytes() throws IOException {
      readToken("a byte string", JsonToken.VALUE_EMBEDDED_OBJECT);
      return in.getBinaryValue();
    }

    /** Reads an array of values; fields that a later version appended to a value are skipped. */
    public <T> List<T> readList(Decoder<T> decoder) throws IOException {
      readToken("an array", JsonToken.START_ARRAY);
      List<T> values = new ArrayList<>();
      while (readToken("an array or its end", JsonToken.START_ARRAY, JsonToken.END_ARRAY)
          == JsonToken.START_ARRAY) {
        values.add(decoder.decode(this));
        skipRest();
      }
      return List.copyOf(values);
    }

    /** Skips the remaining elements of the current array, and its end. */
    private void skipRest() throws IOException {
      for (JsonToken token = in.nextToken(); token != JsonToken.END_ARRAY; token = in.nextToken()) {
        if (token == null) {
          throw new MalformedMessageException("the end of an array", "the end of the bytes");
        }
        in.skipChildren();
      }
    }
  }

  /** Reads the fields of a value. */
  @FunctionalInterface
  public interface Decoder<T> {
    T decode(Reader in) throws IOException;
  }

  /**
   * Encodes a value as an array of its fields.
   *
   * @throws UncheckedIOException if the encoder throws an IOException, such as for a value without
   *     a defined format
   */
  public static <T> byte[] encode(T value, Encoder<T> encoder) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (CBORGenerator out = FACTORY.createGenerator(bytes)) {
      out.writeStartArray();
      encoder.encode(value, new Writer(out));
      out.writeEndArray();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  /**
   * Decodes a value; fields that a later version appended to it are skipped.
   *
   * @throws MalformedMessageException if the bytes are incomplete or have another format
   * @throws IOException if the decoder throws it
   */
  public static <T> T decode(byte[] bytes, Decoder<T> decoder) throws IOException {
    try (CBORParser in = FACTORY.createParser(bytes)) {
      Reader reader = new Reader(in);
      reader.readToken("an array", JsonToken.START_ARRAY);
      T value = decoder.decode(reader);
      reader.skipRest();
      return value;
    } catch (JsonProcessingException | IllegalArgumentException e) {
      throw new MalformedMessageException(e);
    }
  }
}
