package org.bergamotcross.systemtest;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Finds free ports on the loopback address. */
final class Ports {
  private Ports() {}

  static int free() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }
}
