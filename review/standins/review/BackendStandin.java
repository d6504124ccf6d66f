package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A backend: registers itself in the store, runs a few requests at a time, queues a few more and
 * turns the rest away as not executed.
 */
final class BackendStandin implements AutoCloseable {
  /** What a faulty backend does besides what a sound one does. */
  interface Fault {
    /** A sound backend. */
    Fault NONE = new Fault() {};

    /** May write bytes when the backend begins to work on a request. */
    default void onRun(HttpMessage request, OutputStream out, Channel channel) throws IOException {}

    /** Learns of an answer that was written. */
    default void afterAnswer(HttpMessage request, byte[] answer, Channel channel) {}
  }

  /** The state that a fault keeps for one connection. */
  static final class Channel {
    String lastAttempt = "";
    byte[] lastAnswer = new byte[0];
  }

  static final int SLOTS = 4;
  private static final int HEARTBEAT_MS = 1_500;

  private final String id;
  private final String service;
  private final String zone;
  private final int workMs;
  private final int queueLength;
  private final StoreStandin store;
  private final Report report;
  private final ServerSocket socket;
  private final Semaphore slots = new Semaphore(SLOTS, true);
  private final AtomicInteger waiting = new AtomicInteger();
  private final long bornMillis = System.currentTimeMillis();
  private final List<Socket> open = new ArrayList<>();
  private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  private int sequence;
  private boolean registered = true;
  volatile Fault fault = Fault.NONE;
  volatile boolean closed;
  volatile boolean leaving;
  volatile int answerBytes;

  BackendStandin(
      String id,
      String service,
      String zone,
      int workMs,
      int queueLength,
      StoreStandin store,
      Report report)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.workMs = workMs;
    this.queueLength = queueLength;
    this.store = store;
    this.report = report;
    this.socket = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
    writeEntry("ready");
    Thread.ofVirtual().start(this::acceptAll);
    Thread.ofVirtual().start(this::sendHeartbeats);
  }

  String id() {
    return id;
  }

  /** Returns how often each request ran, by the id of the consumer attempt. */
  Map<String, AtomicInteger> runs() {
    return runs;
  }

  /** Removes the entry from the store, as a backend does that leaves without a notice. */
  synchronized void removeEntry() {
    registered = false;
    leaving = true;
    store.put(Wire.BACKENDS_TOPIC, id, new byte[0]);
  }

  private synchronized void writeEntry(String state) {
    if (!registered) {
      return;
    }
    String entry =
        String.format(
            Locale.ROOT,
            "{\"address\":\"127.0.0.1:%d\",\"info\":{\"service\":\"%s\",\"version\":\"v1\","
                + "\"zone\":\"%s\",\"slots\":%d},\"status\":{\"state\":\"%s\",\"seq_no\":%d,"
                + "\"warmup_left\":\"0ms\"},\"born\":%d}",
            socket.getLocalPort(),
            service,
            zone,
            SLOTS,
            state,
            ++sequence,
            bornMillis);
    store.put(Wire.BACKENDS_TOPIC, id, entry.getBytes(StandardCharsets.UTF_8));
  }

  private void sendHeartbeats() {
    try {
      while (!closed) {
        Thread.sleep(HEARTBEAT_MS);
        writeEntry("ready");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void acceptAll() {
    try {
      while (true) {
        Socket connection = socket.accept();
        synchronized (open) {
          open.add(connection);
        }
        Thread.ofVirtual().start(() -> serve(connection));
      }
    } catch (IOException e) {
      // The backend was closed.
    }
  }

  private void serve(Socket connection) {
    Channel channel = new Channel();
    try (connection) {
      connection.setTcpNoDelay(true);
      BufferedInputStream in = new BufferedInputStream(connection.getInputStream());
      OutputStream out = connection.getOutputStream();
      while (true) {
        HttpMessage request = HttpMessage.read(in);
        byte[] answer = handle(request, out, channel);
        out.write(answer);
        out.flush();
        fault.afterAnswer(request, answer, channel);
      }
    } catch (IOException e) {
      // The caller closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private byte[] handle(HttpMessage request, OutputStream out, Channel channel)
      throws IOException, InterruptedException {
    String attempt = request.header(Wire.ATTEMPT_ID).orElse("");
    if (request.target().equals("/health")) {
      return answer(200, attempt, Wire.INSTANCE + ": " + id + "\r\n", "");
    }
    if (request.header(Wire.EXPECTED_INSTANCE).filter(e -> !e.equals(id)).isPresent()) {
      return answer(421, attempt, Wire.INSTANCE + ": " + id + "\r\n", "");
    }
    if (!takeSlot()) {
      report.line("backend %s turns %s away (503, not executed)", id, attempt);
      return answer(503, attempt, Wire.NOT_EXECUTED + ": 1\r\n", "");
    }
    try {
      int count = runs.computeIfAbsent(attempt, a -> new AtomicInteger()).incrementAndGet();
      report.line("backend %s runs %s %s (run %d here)", id, attempt, request.startLine(), count);
      fault.onRun(request, out, channel);
      Thread.sleep(workMs);
    } finally {
      slots.release();
    }
    report.line("backend %s answers %s with 200", id, attempt);
    return answer(
        200,
        attempt,
        Wire.SEAL + ": " + id + "." + attempt + "\r\n",
        "done by " + id + " ".repeat(answerBytes));
  }

  private boolean takeSlot() throws InterruptedException {
    if (slots.tryAcquire()) {
      return true;
    }
    if (waiting.incrementAndGet() > queueLength) {
      waiting.decrementAndGet();
      return false;
    }
    try {
      slots.acquire();
    } finally {
      waiting.decrementAndGet();
    }
    return true;
  }

  private byte[] answer(int status, String attempt, String headers, String body) {
    return ("HTTP/1.1 "
            + status
            + " Status\r\n"
            + (attempt.isEmpty() ? "" : Wire.ATTEMPT_ID + ": " + attempt + "\r\n")
            + headers
            + (leaving ? Wire.LEAVING + ": 1\r\n" : "")
            + "Keep-Alive: timeout=10\r\nContent-Type: text/plain\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body)
        .getBytes(StandardCharsets.ISO_8859_1);
  }

  @Override
  public void close() throws IOException {
    closed = true;
    socket.close();
    synchronized (open) {
      for (Socket connection : open) {
        connection.close();
      }
    }
  }
}
