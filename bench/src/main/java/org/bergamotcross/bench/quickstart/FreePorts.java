package org.bergamotcross.bench.quickstart;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Prints free TCP ports of 127.0.0.1, one on each line. */
public final class FreePorts {
  private FreePorts() {}

  /**
   * Prints the ports; all are held open until all are found, so that they differ.
   *
   * @param arguments the number of ports
   * @throws IOException if there are not that many free ports
   */
  public static void main(String[] arguments) throws IOException {
    List<ServerSocket> open = new ArrayList<>();
    try {
      for (int i = 0; i < Integer.parseInt(arguments[0]); i++) {
        open.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
      }
      open.forEach(socket -> System.out.println(socket.getLocalPort()));
    } finally {
      for (ServerSocket socket : open) {
        socket.close();
      }
    }
  }
}
