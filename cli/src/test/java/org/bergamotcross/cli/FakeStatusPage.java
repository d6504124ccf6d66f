package org.bergamotcross.cli;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/** Serves a fixed status page in place of an instance. */
final class FakeStatusPage implements AutoCloseable {
  private final HttpServer server;

  FakeStatusPage(String name, long offset, boolean fresh) throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    byte[] page =
        ("instance=" + name + "\noffset=" + offset + "\nfresh=" + fresh + "\n")
            .getBytes(StandardCharsets.UTF_8);
    server.createContext(
        "/status",
        exchange -> {
          exchange.sendResponseHeaders(200, page.length);
          exchange.getResponseBody().write(page);
          exchange.close();
        });
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  void stop() {
    server.stop(0);
  }

  @Override
  public void close() {
    stop();
  }
}
