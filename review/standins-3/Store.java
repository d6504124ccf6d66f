import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stand-in for the platform's metadata store: keyed topics with one partition, on loopback. */
final class Store implements AutoCloseable {
  /** A record of a keyed topic; an empty value deletes the key. */
  private record Item(String key, byte[] value, long offset) {}

  /** A topic; {@code newest} holds the newest record of each key that has a value. */
  private static final class Topic {
    final List<Item> items = new ArrayList<>();
    final TreeMap<String, Item> newest = new TreeMap<>();
  }

  private static final int PAGE_ITEMS = 500;
  private static final long MAX_WAIT_MS = 30_000;

  private final HttpServer server;
  private final Map<String, Topic> topics = new HashMap<>();

  Store() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 512);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext(Wire.name("call.read"), this::read);
    server.createContext(Wire.name("call.newest"), this::newest);
    server.createContext(Wire.name("call.append"), this::append);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Writes a record as the operator or a server does; a null value deletes the key. */
  synchronized long write(String topic, String key, String value) {
    return add(topic, key, value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8));
  }

  private synchronized long add(String name, String key, byte[] value) {
    Topic topic = topics.computeIfAbsent(name, n -> new Topic());
    Item item = new Item(key, value, topic.items.size());
    topic.items.add(item);
    if (value.length == 0) {
      topic.newest.remove(key);
    } else {
      topic.newest.put(key, item);
    }
    notifyAll();
    return item.offset();
  }

  private void read(HttpExchange exchange) throws IOException {
    Map<String, String> query = query(exchange);
    long from = Long.parseLong(query.get("from"));
    long wait = Math.min(MAX_WAIT_MS, Long.parseLong(query.getOrDefault("wait_ms", "0")));
    ByteBuffer page;
    synchronized (this) {
      Topic topic = topics.computeIfAbsent(query.get("topic"), n -> new Topic());
      long until = System.nanoTime() + wait * 1_000_000;
      while (topic.items.size() <= from && System.nanoTime() < until) {
        try {
          wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          return;
        }
      }
      if (from > topic.items.size()) {
        respond(exchange, 410, "{\"first_offset\":0}".getBytes(StandardCharsets.UTF_8));
        return;
      }
      List<Item> items = topic.items.subList((int) from, topic.items.size());
      int bytes = 16;
      for (Item item : items) {
        bytes += 5 + item.key().getBytes(StandardCharsets.UTF_8).length + item.value().length;
      }
      page = ByteBuffer.allocate(bytes).putLong(topic.items.size()).putLong(0);
      for (Item item : items) {
        byte[] key = item.key().getBytes(StandardCharsets.UTF_8);
        page.putInt(1 + key.length + item.value().length);
        page.put((byte) key.length).put(key).put(item.value());
      }
    }
    respond(exchange, 200, page.array());
  }

  private void newest(HttpExchange exchange) throws IOException {
    Map<String, String> query = query(exchange);
    StringBuilder body = new StringBuilder("{\"items\":[");
    synchronized (this) {
      Topic topic = topics.computeIfAbsent(query.get("topic"), n -> new Topic());
      int count = 0;
      boolean more = false;
      for (Item item : topic.newest.tailMap(query.getOrDefault("after", ""), false).values()) {
        if (count == PAGE_ITEMS) {
          more = true;
          break;
        }
        body.append(count++ == 0 ? "" : ",");
        body.append("{\"key\":\"").append(item.key()).append("\",\"value\":\"");
        body.append(Base64.getEncoder().encodeToString(item.value()));
        body.append("\",\"offset\":").append(item.offset()).append('}');
      }
      body.append("],\"has_more\":").append(more);
      body.append(",\"end_offset\":").append(topic.items.size()).append('}');
    }
    respond(exchange, 200, body.toString().getBytes(StandardCharsets.UTF_8));
  }

  private void append(HttpExchange exchange) throws IOException {
    Map<String, String> query = query(exchange);
    ByteBuffer body = ByteBuffer.wrap(exchange.getRequestBody().readAllBytes());
    String answer;
    int status = 200;
    synchronized (this) {
      Topic topic = topics.computeIfAbsent(query.get("topic"), n -> new Topic());
      long end = topic.items.size();
      if (query.containsKey("at") && Long.parseLong(query.get("at")) != end) {
        status = 412;
        answer = "{\"end_offset\":" + end + "}";
      } else {
        while (body.remaining() >= 4) {
          byte[] content = new byte[body.getInt()];
          body.get(content);
          int keyLength = content[0] & 0xff;
          byte[] value = new byte[content.length - 1 - keyLength];
          System.arraycopy(content, 1 + keyLength, value, 0, value.length);
          add(query.get("topic"), new String(content, 1, keyLength, StandardCharsets.UTF_8), value);
        }
        answer = "{\"offset\":" + end + ",\"end_offset\":" + topic.items.size() + "}";
      }
    }
    respond(exchange, status, answer.getBytes(StandardCharsets.UTF_8));
  }

  private static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> query = new HashMap<>();
    for (String pair : exchange.getRequestURI().getQuery().split("&")) {
      int equals = pair.indexOf('=');
      query.put(pair.substring(0, equals), pair.substring(equals + 1));
    }
    return query;
  }

  private static void respond(HttpExchange exchange, int status, byte[] body) throws IOException {
    try (exchange) {
      exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
      exchange.getResponseBody().write(body);
    }
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
