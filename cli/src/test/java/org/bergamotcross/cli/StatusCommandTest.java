package org.bergamotcross.cli;

import static com.google.common.truth.Truth.assertThat;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against an operator who can't see which instances lack a configuration. */
class StatusCommandTest {
  private final TestProgram program = new TestProgram();
  private final List<HttpServer> servers = new ArrayList<>();

  private String instance(String name, long offset, boolean fresh) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
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
    servers.add(server);
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  private String stopped() throws IOException {
    String address = instance("stopped", 0, true);
    servers.getLast().stop(0);
    return address;
  }

  @AfterEach
  void stop() {
    servers.forEach(server -> server.stop(0));
  }

  private List<String> status(int code, String... addresses) {
    String list = String.join(",", addresses);
    assertThat(program.run("status", "--instances", list, "--format", "kv")).isEqualTo(code);
    return program.out().lines().toList();
  }

  @Nested
  class AllAnswer {
    @Test
    void tellsWhoIsBehindOrNotFresh() throws IOException {
      List<String> lines =
          status(0, instance("e1", 7, true), instance("e2", 5, true), instance("e3", 7, false));
      assertThat(lines.get(0)).contains("instance=e1");
      assertThat(lines.get(0)).endsWith("state=current");
      assertThat(lines.get(1)).endsWith("state=\"behind by 2\"");
      assertThat(lines.get(2)).endsWith("state=\"not fresh\"");
    }
  }

  @Nested
  class OneIsSilent {
    @Test
    void namesItAndShowsTheOthers() throws IOException {
      String silent = stopped();
      List<String> lines = status(3, instance("e1", 7, true), silent);
      assertThat(lines.get(0)).endsWith("state=current");
      assertThat(lines.get(1)).endsWith("state=\"no connection\"");
      assertThat(program.err()).contains("no status from " + silent);
    }
  }
}
