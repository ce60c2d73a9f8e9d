package shalepaddle.testkit;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;

/**
 * One end of a TCP connection over loopback, which a test writes to and reads from with blocking
 * calls.
 */
public final class ScriptedPeer implements Closeable {
  /**
   * Timeout for connecting and for each read; long enough for a slow machine, so that a test that
   * runs into it has failed.
   */
  public static final int TIMEOUT_MILLIS = 20_000;

  private final Socket socket;
  private final InputStream in;

  /** Takes over a connected socket. */
  public ScriptedPeer(Socket socket) throws IOException {
    this.socket = socket;
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** Opens a connection to this address. */
  public static ScriptedPeer connect(SocketAddress address) throws IOException {
    Socket socket = new Socket();
    socket.connect(address, TIMEOUT_MILLIS);
    return new ScriptedPeer(socket);
  }

  /** Sends a text as ISO-8859-1. */
  public ScriptedPeer write(String text) throws IOException {
    return write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Sends these bytes. */
  public ScriptedPeer write(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
    return this;
  }

  /** Reads the next line and returns it without its CRLF; null at the end of the stream. */
  public String readLine() throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = in.read(); c >= 0; c = in.read()) {
      if (c == '\n') {
        return line.substring(0, line.length() - 1);
      }
      line.append((char) c);
    }
    return null;
  }

  /** Reads this many bytes; fewer only at the end of the stream. */
  public byte[] readBytes(int count) throws IOException {
    return in.readNBytes(count);
  }

  /** Waits for the next byte; returns true if the other end closes the connection instead. */
  public boolean closedByPeer() {
    try {
      return in.read() < 0;
    } catch (IOException e) {
      return true;
    }
  }

  /** Closes the connection with a TCP reset. */
  public void reset() throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
