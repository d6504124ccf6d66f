package review2;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/** A sound stand-in for the platform's store: keyed topics of one partition, without faults. */
final class Store implements AutoCloseable {
  private record Entry(String key, byte[] value) {}

  private final Map<String, List<Entry>> topics = new HashMap<>();
  private final HttpServer server;

  Store() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext(Wire.name("call.read"), exchange -> answer(exchange, this::read));
    server.createContext(Wire.name("call.newest"), exchange -> answer(exchange, this::newest));
    server.createContext(Wire.name("call.append"), exchange -> answer(exchange, this::append));
    server.start();
  }

  int port() {
    return server.getAddress().getPort();
  }

  /** Publishes the configuration as the operator does. */
  void publishConfiguration() {
    write(Wire.name("topic.configuration"), "config", Wire.name("configuration"));
  }

  /** Writes a record as the operator or a backend does. */
  synchronized void write(String topic, String key, String value) {
    topic(topic).add(new Entry(key, value.getBytes(StandardCharsets.UTF_8)));
    notifyAll();
  }

  private List<Entry> topic(String name) {
    return topics.computeIfAbsent(name, n -> new ArrayList<>());
  }

  private interface Call {
    byte[] run(Map<String, String> query, byte[] body) throws IOException, InterruptedException;
  }

  private static void answer(HttpExchange exchange, Call call) throws IOException {
    Map<String, String> query = new HashMap<>();
    for (String pair : exchange.getRequestURI().getQuery().split("&")) {
      int equals = pair.indexOf('=');
      query.put(pair.substring(0, equals), pair.substring(equals + 1));
    }
    byte[] body = exchange.getRequestBody().readAllBytes();
    try {
      byte[] response = call.run(query, body);
      exchange.getResponseHeaders().set("Store-Era", "1");
      if (response == null) {
        exchange.sendResponseHeaders(412, -1);
      } else {
        exchange.sendResponseHeaders(200, response.length);
        exchange.getResponseBody().write(response);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      exchange.close();
    }
  }

  private synchronized byte[] read(Map<String, String> query, byte[] body)
      throws IOException, InterruptedException {
    List<Entry> records = topic(query.get("topic"));
    int from = Integer.parseInt(query.get("from"));
    long until =
        System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000L;
    while (records.size() <= from && System.nanoTime() < until) {
      wait(Math.max(1, (until - System.nanoTime()) / 1_000_000L));
    }
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    out.writeLong(records.size());
    out.writeLong(0);
    for (int i = from; i < records.size(); i++) {
      byte[] key = records.get(i).key().getBytes(StandardCharsets.UTF_8);
      byte[] value = records.get(i).value();
      out.writeInt(1 + key.length + value.length);
      out.writeByte(key.length);
      out.write(key);
      out.write(value);
    }
    return bytes.toByteArray();
  }

  private synchronized byte[] newest(Map<String, String> query, byte[] body) {
    List<Entry> records = topic(query.get("topic"));
    Map<String, Integer> last = new LinkedHashMap<>();
    for (int i = 0; i < records.size(); i++) {
      last.put(records.get(i).key(), i);
    }
    List<String> items = new ArrayList<>();
    last.forEach(
        (key, offset) -> {
          byte[] value = records.get(offset).value();
          if (value.length > 0) {
            items.add(
                "{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%d}"
                    .formatted(key, Base64.getEncoder().encodeToString(value), offset));
          }
        });
    return "{\"items\":[%s],\"has_more\":false,\"end_offset\":%d}"
        .formatted(String.join(",", items), records.size())
        .getBytes(StandardCharsets.UTF_8);
  }

  private synchronized byte[] append(Map<String, String> query, byte[] body) {
    List<Entry> records = topic(query.get("topic"));
    if (query.containsKey("at") && Integer.parseInt(query.get("at")) != records.size()) {
      return null;
    }
    int offset = records.size();
    ByteBuffer in = ByteBuffer.wrap(body);
    while (in.remaining() >= Integer.BYTES) {
      byte[] content = new byte[in.getInt()];
      in.get(content);
      int keyLength = Byte.toUnsignedInt(content[0]);
      byte[] value = new byte[content.length - 1 - keyLength];
      System.arraycopy(content, 1 + keyLength, value, 0, value.length);
      records.add(new Entry(new String(content, 1, keyLength, StandardCharsets.UTF_8), value));
    }
    notifyAll();
    return "{\"offset\":%d,\"end_offset\":%d}"
        .formatted(offset, records.size())
        .getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
