import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-in for a server of a service: runs a request in one of its slots and answers with its seal.
 * A subclass may change what it answers.
 */
class Backend implements AutoCloseable {
  private static final int SLOTS = 4;
  private static final int QUEUE = 16;
  private static final AtomicLong SEALS = new AtomicLong();

  final String id;
  final String service;
  final String zone;
  final Record record;
  final AtomicInteger sequence = new AtomicInteger();
  final Set<Socket> open = ConcurrentHashMap.newKeySet();
  volatile long workMs = 50;
  volatile int responseBytes = 1_000;
  volatile long born = System.currentTimeMillis();
  private final Semaphore slots = new Semaphore(SLOTS, true);
  private final ServerSocket listener;
  private final Store store;
  private volatile String state = "ready";

  Backend(Store store, String id, String service, String zone, Record record) throws IOException {
    this.store = store;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.record = record;
    this.listener = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::accept);
    register();
    Thread.ofVirtual().start(this::heartbeat);
  }

  int port() {
    return listener.getLocalPort();
  }

  final void register() {
    store.write("keyed.servers", id, entry(service, born));
  }

  /** Reports that this server drains; returns when the store has accepted the report. */
  final void drain() {
    state = "draining";
    register();
  }

  /** Returns an entry at the address of this server. */
  final String entry(String service, long born) {
    return """
    {"address":"127.0.0.1:%d","born":%d,
    "info":{"service":"%s","version":"v1","zone":"%s","slots":%d},
    "status":{"state":"%s","seq_no":%d,"warmup_left":"0ms"}}\
    """
        .formatted(port(), born, service, zone, SLOTS, state, sequence.incrementAndGet());
  }

  private void heartbeat() {
    try {
      while (!listener.isClosed()) {
        Thread.sleep(1_500);
        register();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        open.add(socket);
        Thread.ofVirtual().start(() -> serve(socket));
      }
    } catch (IOException e) {
      // The listener is closed.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
      int number = 0;
      for (Http.Message request = Http.read(in, false);
          request != null && request.complete();
          request = Http.read(in, false)) {
        if (!handle(socket, request, number++)) {
          return;
        }
      }
    } catch (IOException | InterruptedException e) {
      // The caller closed the connection.
    } finally {
      open.remove(socket);
    }
  }

  /** Handles a request; returns whether the connection stays open. */
  boolean handle(Socket socket, Http.Message request, int number)
      throws IOException, InterruptedException {
    OutputStream out = socket.getOutputStream();
    String attempt = request.header("X-Bergamotcross-Attempt-Id");
    if (!request.header("X-Bergamotcross-Expect-Instance").equals(id)) {
      write(
          out, head(421, "Misdirected Request", attempt, "X-Bergamotcross-Instance-Id: " + id, 0));
      return true;
    }
    long left = Long.parseLong(request.header("X-Bergamotcross-Deadline-Ms"));
    boolean full = slots.getQueueLength() >= QUEUE;
    if (full || !slots.tryAcquire(left, TimeUnit.MILLISECONDS)) {
      write(out, head(503, "Service Unavailable", attempt, "X-Bergamotcross-Not-Executed: 1", 0));
      return true;
    }
    try {
      record.ran(attempt, id, request);
      onRun(attempt);
      Thread.sleep(Math.min(workMs, left));
    } finally {
      slots.release();
    }
    return answer(socket, request, attempt, number);
  }

  /** Called when a request begins to run. */
  void onRun(String attempt) {}

  /** Answers a request that has run; returns whether the connection stays open. */
  boolean answer(Socket socket, Http.Message request, String attempt, int number)
      throws IOException, InterruptedException {
    String seal = seal();
    byte[] body = body(seal, responseBytes);
    record.answered(attempt, id, seal, body);
    OutputStream out = socket.getOutputStream();
    write(out, head(200, "OK", attempt, "X-Bergamotcross-Server-Seal: " + seal, body.length));
    out.write(body);
    return true;
  }

  static String seal() {
    return "seal-" + SEALS.incrementAndGet();
  }

  static byte[] body(String seal, int length) {
    return (seal + " ")
        .repeat(length / (seal.length() + 1) + 1)
        .substring(0, length)
        .getBytes(StandardCharsets.US_ASCII);
  }

  static String head(int status, String reason, String attempt, String header, int length) {
    return "HTTP/1.1 %d %s\r\nX-Bergamotcross-Attempt-Id: %s\r\n%s\r\nContent-Length: %d\r\n\r\n"
        .formatted(status, reason, attempt, header, length);
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }

  /** Crashes: the listener and all connections end. */
  void crash() {
    try {
      listener.close();
      for (Socket socket : open) {
        socket.close();
      }
    } catch (IOException e) {
      // Already closed.
    }
  }

  @Override
  public void close() {
    crash();
  }
}
