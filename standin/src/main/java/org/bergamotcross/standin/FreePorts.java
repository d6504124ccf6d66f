package org.bergamotcross.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Finds free ports of the loopback address for processes that are started later.
 *
 * <p>The ports lie below the ephemeral ports of Linux, which start at 32,768. An ephemeral port may
 * be taken by an outgoing connection before the process starts to listen.
 */
public final class FreePorts {
  private static final int FIRST_PORT = 10_000;
  private static final int PORT_COUNT = 20_000;

  // Derived from the process id so that concurrent processes try different ports first.
  private static final AtomicInteger NEXT_INDEX =
      new AtomicInteger((int) (ProcessHandle.current().pid() * 37 % PORT_COUNT));

  private FreePorts() {}

  /**
   * Returns a free port.
   *
   * <p>A process returns a port again only after it has tried all others of the range.
   *
   * @return a port that no socket listens on
   * @throws IllegalStateException if all ports of the range are in use
   */
  public static int next() {
    for (int i = 0; i < PORT_COUNT; i++) {
      int port = FIRST_PORT + Math.floorMod(NEXT_INDEX.getAndIncrement(), PORT_COUNT);
      if (isFree(port)) {
        return port;
      }
    }
    throw new IllegalStateException(
        "no free port from " + FIRST_PORT + " to " + (FIRST_PORT + PORT_COUNT - 1));
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }
}
