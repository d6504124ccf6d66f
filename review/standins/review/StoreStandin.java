package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The platform's metadata store: keyed topics with one partition each, with the calls that append
 * records, read them, and read the newest record of each key.
 *
 * <p>Each entry instance gets an address of its own, so that the store can reject one instance and
 * serve the others.
 */
final class StoreStandin implements AutoCloseable {
  /** How the store treats the calls that arrive at one address. */
  enum Mode {
    SERVE,
    /** Each call is answered 503, and nothing is done. */
    REJECT
  }

  private record Entry(long offset, String key, byte[] value) {}

  private static final class Topic {
    private final List<Entry> entries = new ArrayList<>();
    private final TreeMap<String, Entry> newest = new TreeMap<>();
    private long first;
    private long end;
  }

  private record Reply(int status, String contentType, byte[] body) {}

  /** One address of the store. */
  final class Address implements AutoCloseable {
    private final ServerSocket socket;
    private final List<Socket> open = new ArrayList<>();
    private final Set<String> waitingTopics = ConcurrentHashMap.newKeySet();
    private volatile Mode mode = Mode.SERVE;
    // Connections that were accepted before this number get no further answer.
    private volatile int firstAnswered;
    private int accepted;

    private Address() throws IOException {
      socket = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
      Thread.ofVirtual().start(this::acceptAll);
    }

    String hostAndPort() {
      return "127.0.0.1:" + socket.getLocalPort();
    }

    void switchTo(Mode next) {
      mode = next;
      wakeReaders();
    }

    /** Returns whether a call at this address waits for a new record of a topic. */
    boolean isWaiting(String topic) {
      return waitingTopics.contains(topic);
    }

    /** Lets all open connections go silent; new ones work. */
    synchronized void silenceOpenConnections() {
      firstAnswered = accepted;
    }

    private void acceptAll() {
      try {
        while (true) {
          Socket connection = socket.accept();
          int number;
          synchronized (this) {
            number = accepted++;
            open.add(connection);
          }
          Thread.ofVirtual().start(() -> serve(connection, number));
        }
      } catch (IOException e) {
        // The store was closed.
      }
    }

    private void serve(Socket connection, int number) {
      try (connection) {
        connection.setTcpNoDelay(true);
        BufferedInputStream in = new BufferedInputStream(connection.getInputStream());
        while (true) {
          HttpMessage request = HttpMessage.read(in);
          Optional<Reply> reply = answer(request, number);
          if (number < firstAnswered) {
            // Keeps the connection open and reads on, without any answer.
            continue;
          }
          write(connection.getOutputStream(), reply.orElseThrow());
        }
      } catch (IOException e) {
        // The caller closed the connection.
      }
    }

    private Optional<Reply> answer(HttpMessage request, int number) {
      if (number < firstAnswered) {
        return Optional.empty();
      }
      return Optional.of(mode == Mode.REJECT ? json(503, "{}") : call(request, this));
    }

    @Override
    public synchronized void close() throws IOException {
      socket.close();
      for (Socket connection : open) {
        connection.close();
      }
    }
  }

  private final Map<String, Topic> topics = new HashMap<>();
  private final List<Address> addresses = new ArrayList<>();

  Address openAddress() throws IOException {
    Address address = new Address();
    addresses.add(address);
    return address;
  }

  /** Writes a record as the operator or a backend does; returns after the acknowledgement. */
  synchronized long put(String topicName, String key, byte[] value) {
    Topic topic = topic(topicName);
    Entry entry = new Entry(topic.end++, key, value);
    topic.entries.add(entry);
    if (value.length == 0) {
      topic.newest.remove(key);
    } else {
      topic.newest.put(key, entry);
    }
    notifyAll();
    return entry.offset();
  }

  /** Forgets the history of a topic; the newest record of each key stays. */
  synchronized void compact(String topicName) {
    Topic topic = topic(topicName);
    topic.entries.clear();
    topic.first = topic.end;
    notifyAll();
  }

  private synchronized void wakeReaders() {
    notifyAll();
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, n -> new Topic());
  }

  private Reply call(HttpMessage request, Address from) {
    Map<String, String> query = query(request.target());
    String path = request.target().split("\\?", 2)[0];
    if (path.equals(Wire.NEWEST)) {
      return newest(query);
    }
    if (path.equals(Wire.READ)) {
      return read(query, from);
    }
    if (path.equals(Wire.APPEND)) {
      return append(query, request.body());
    }
    return json(404, "{}");
  }

  private synchronized Reply newest(Map<String, String> query) {
    Topic topic = topic(query.get("topic"));
    StringBuilder items = new StringBuilder();
    for (Entry entry : topic.newest.values()) {
      items.append(items.isEmpty() ? "" : ",");
      items.append("{\"key\":\"").append(entry.key()).append("\",\"value\":\"");
      items.append(Base64.getEncoder().encodeToString(entry.value()));
      items.append("\",\"offset\":").append(entry.offset()).append('}');
    }
    return json(
        200, "{\"items\":[" + items + "],\"has_more\":false,\"end_offset\":" + topic.end + "}");
  }

  private synchronized Reply read(Map<String, String> query, Address from) {
    Topic topic = topic(query.get("topic"));
    long start = Long.parseLong(query.get("from"));
    long waitUntil =
        System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
    if (start >= topic.end && System.nanoTime() < waitUntil) {
      from.waitingTopics.add(query.get("topic"));
    }
    try {
      while (start >= topic.end && System.nanoTime() < waitUntil && from.mode == Mode.SERVE) {
        wait(Math.max(1, (waitUntil - System.nanoTime()) / 1_000_000));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      from.waitingTopics.remove(query.get("topic"));
    }
    if (from.mode == Mode.REJECT) {
      return json(503, "{}");
    }
    if (start < topic.first) {
      return json(410, "{\"first_offset\":" + topic.first + "}");
    }
    List<Entry> page = topic.entries.stream().filter(e -> e.offset() >= start).toList();
    int size = page.stream().mapToInt(e -> 5 + e.key().length() + e.value().length).sum();
    ByteBuffer body = ByteBuffer.allocate(16 + size).putLong(topic.end).putLong(topic.first);
    for (Entry entry : page) {
      byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
      body.putInt(1 + key.length + entry.value().length).put((byte) key.length);
      body.put(key).put(entry.value());
    }
    return new Reply(200, "application/octet-stream", body.array());
  }

  private synchronized Reply append(Map<String, String> query, byte[] content) {
    String name = query.get("topic");
    if (name.equals(Wire.CONFIGURATION_TOPIC) || name.equals(Wire.BACKENDS_TOPIC)) {
      return json(403, "{}");
    }
    Topic topic = topic(name);
    if (query.containsKey("at") && Long.parseLong(query.get("at")) != topic.end) {
      return json(412, "{\"end_offset\":" + topic.end + "}");
    }
    long first = topic.end;
    ByteBuffer records = ByteBuffer.wrap(content);
    while (records.remaining() > 4) {
      byte[] entry = new byte[records.getInt()];
      records.get(entry);
      int keyLength = Byte.toUnsignedInt(entry[0]);
      byte[] value = new byte[entry.length - 1 - keyLength];
      System.arraycopy(entry, 1 + keyLength, value, 0, value.length);
      put(name, new String(entry, 1, keyLength, StandardCharsets.UTF_8), value);
    }
    return json(200, "{\"offset\":" + first + ",\"end_offset\":" + topic.end + "}");
  }

  private static Map<String, String> query(String target) {
    Map<String, String> query = new HashMap<>();
    int start = target.indexOf('?');
    for (String part : start < 0 ? new String[0] : target.substring(start + 1).split("&")) {
      String[] pair = part.split("=", 2);
      query.put(pair[0], pair.length > 1 ? pair[1] : "");
    }
    return query;
  }

  private static Reply json(int status, String body) {
    return new Reply(status, "application/json", body.getBytes(StandardCharsets.UTF_8));
  }

  private static void write(OutputStream out, Reply reply) throws IOException {
    String head =
        "HTTP/1.1 "
            + reply.status()
            + " Status\r\nContent-Type: "
            + reply.contentType()
            + "\r\nContent-Length: "
            + reply.body().length
            + "\r\n\r\n";
    byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
    ByteBuffer all = ByteBuffer.allocate(headBytes.length + reply.body().length);
    out.write(all.put(headBytes).put(reply.body()).array());
    out.flush();
  }

  @Override
  public void close() throws IOException {
    for (Address address : addresses) {
      address.close();
    }
  }
}
