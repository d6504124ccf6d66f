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
    store.write(Wire.SERVERS, id, entry(service, born));
  }

  /** Returns an entry at the address of this server. */
  final String entry(String service, long born) {
    return Wire.name("entry.server")
        .formatted(port(), born, service, zone, SLOTS, sequence.incrementAndGet());
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
    String attempt = request.header(Wire.ATTEMPT);
    if (!request.header(Wire.name("header.expected-server")).equals(id)) {
      write(
          out,
          head(421, "Misdirected Request", attempt, Wire.name("header.server") + ": " + id, 0));
      return true;
    }
    long left = Long.parseLong(request.header(Wire.TIME_LEFT));
    boolean full = slots.getQueueLength() >= QUEUE;
    if (full || !slots.tryAcquire(left, TimeUnit.MILLISECONDS)) {
      write(out, head(503, "Service Unavailable", attempt, Wire.name("header.not-run") + ": 1", 0));
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
    write(out, head(200, "OK", attempt, Wire.SEAL + ": " + seal, body.length));
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
    return "HTTP/1.1 %d %s\r\n%s: %s\r\n%s\r\nContent-Length: %d\r\n\r\n"
        .formatted(status, reason, Wire.ATTEMPT, attempt, header, length);
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
