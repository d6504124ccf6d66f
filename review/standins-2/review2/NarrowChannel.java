package review2;

import java.io.IOException;
import java.lang.foreign.Arena;
import java.lang.foreign.FunctionDescriptor;
import java.lang.foreign.Linker;
import java.lang.foreign.MemorySegment;
import java.lang.foreign.ValueLayout;
import java.lang.invoke.MethodHandle;
import java.nio.charset.StandardCharsets;

/**
 * A consumer's channel with the segment size of an Ethernet link and a small receive buffer.
 *
 * <p>Java's sockets can't set the segment size; on the loopback interface it is 64 KiB, and the
 * kernel then buffers megabytes for a reader that is slow. Only options of this socket are set.
 */
final class NarrowChannel implements AutoCloseable {
  private static final int SOL_SOCKET = 1;
  private static final int SO_RCVBUF = 8;
  private static final int IPPROTO_TCP = 6;
  private static final int TCP_MAXSEG = 2;
  private static final int MSG_NOSIGNAL = 0x4000;
  private static final int BUFFER_BYTES = 64 << 10;

  private static final Linker LINKER = Linker.nativeLinker();
  private static final MethodHandle SOCKET = function("socket", 3, "iii");
  private static final MethodHandle SETSOCKOPT = function("setsockopt", 5, "iiipi");
  private static final MethodHandle CONNECT = function("connect", 3, "ipi");
  private static final MethodHandle SEND = function("send", 4, "ipli");
  private static final MethodHandle RECV = function("recv", 4, "ipli");
  private static final MethodHandle CLOSE = function("close", 1, "i");

  private final Arena arena = Arena.ofShared();
  private final MemorySegment buffer = arena.allocate(BUFFER_BYTES);
  private final int descriptor;

  private static MethodHandle function(String name, int parameters, String types) {
    java.lang.foreign.MemoryLayout[] layouts = new java.lang.foreign.MemoryLayout[parameters];
    for (int i = 0; i < parameters; i++) {
      layouts[i] =
          switch (types.charAt(i)) {
            case 'i' -> ValueLayout.JAVA_INT;
            case 'l' -> ValueLayout.JAVA_LONG;
            default -> ValueLayout.ADDRESS;
          };
    }
    boolean sizes = name.equals("send") || name.equals("recv");
    return LINKER.downcallHandle(
        LINKER.defaultLookup().find(name).orElseThrow(),
        FunctionDescriptor.of(sizes ? ValueLayout.JAVA_LONG : ValueLayout.JAVA_INT, layouts));
  }

  /**
   * Connects to an instance.
   *
   * @param segmentBytes the largest segment; 0 for that of the interface
   */
  NarrowChannel(int port, int segmentBytes, int receiveBufferBytes) throws Throwable {
    descriptor = (int) SOCKET.invokeExact(2, 1, 0);
    option(SOL_SOCKET, SO_RCVBUF, receiveBufferBytes);
    if (segmentBytes > 0) {
      option(IPPROTO_TCP, TCP_MAXSEG, segmentBytes);
    }
    MemorySegment address = arena.allocate(16, 4);
    address.set(ValueLayout.JAVA_SHORT, 0, (short) 2);
    address.set(ValueLayout.JAVA_BYTE, 2, (byte) (port >> 8));
    address.set(ValueLayout.JAVA_BYTE, 3, (byte) port);
    address.set(ValueLayout.JAVA_BYTE, 4, (byte) 127);
    address.set(ValueLayout.JAVA_BYTE, 7, (byte) 1);
    check((int) CONNECT.invokeExact(descriptor, address, 16), "connect");
  }

  private void option(int level, int name, int value) throws Throwable {
    MemorySegment number = arena.allocate(ValueLayout.JAVA_INT);
    number.set(ValueLayout.JAVA_INT, 0, value);
    check((int) SETSOCKOPT.invokeExact(descriptor, level, name, number, 4), "setsockopt");
  }

  private static void check(int result, String call) throws IOException {
    if (result < 0) {
      throw new IOException(call + " failed");
    }
  }

  void send(String text) throws Throwable {
    byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
    MemorySegment.copy(bytes, 0, buffer, ValueLayout.JAVA_BYTE, 0, bytes.length);
    long sent = (long) SEND.invokeExact(descriptor, buffer, (long) bytes.length, MSG_NOSIGNAL);
    if (sent != bytes.length) {
      throw new IOException("send failed");
    }
  }

  /** Reads up to a number of bytes; 0 at the end of the channel, -1 if it was reset. */
  byte[] read(int most) throws Throwable {
    long length = (long) RECV.invokeExact(descriptor, buffer, (long) most, 0);
    if (length < 0) {
      return null;
    }
    byte[] bytes = new byte[(int) length];
    MemorySegment.copy(buffer, ValueLayout.JAVA_BYTE, 0, bytes, 0, bytes.length);
    return bytes;
  }

  @Override
  public void close() {
    try {
      int ignored = (int) CLOSE.invokeExact(descriptor);
    } catch (Throwable e) {
      throw new IllegalStateException(e);
    }
    arena.close();
  }
}
