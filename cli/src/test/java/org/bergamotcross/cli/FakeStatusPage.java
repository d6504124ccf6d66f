package org.bergamotcross.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Serves a fixed status page in place of an instance, one request on each connection. */
final class FakeStatusPage implements AutoCloseable {
  private final ServerSocket server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
  private final byte[] response;

  FakeStatusPage(String name, long offset, boolean fresh) throws IOException {
    this(withLength(page(name, offset, fresh)));
  }

  private FakeStatusPage(String response) throws IOException {
    this.response = response.getBytes(StandardCharsets.US_ASCII);
    Thread.startVirtualThread(this::serve);
  }

  /** Starts a server whose responses a test can make invalid in any way. */
  static FakeStatusPage respondingWith(String response) throws IOException {
    return new FakeStatusPage(response);
  }

  static String page(String name, long offset, boolean fresh) {
    return "instance=" + name + "\noffset=" + offset + "\nfresh=" + fresh + "\n";
  }

  private static String withLength(String page) {
    return "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: "
        + page.length()
        + "\r\n\r\n"
        + page;
  }

  private void serve() {
    while (!server.isClosed()) {
      try (Socket socket = server.accept()) {
        BufferedReader request =
            new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        for (String line = request.readLine();
            line != null && !line.isEmpty();
            line = request.readLine()) {}
        socket.getOutputStream().write(response);
      } catch (IOException e) {
        // The client has left, or the test has closed the server.
      }
    }
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  void stop() throws IOException {
    server.close();
  }

  @Override
  public void close() throws IOException {
    stop();
  }
}
