import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Servers send answers in chunks of the size of their own writes. Each caller sends two orders on
 * one connection; the answer to the second one is large.
 */
public final class LargeChunks extends Case {
  private static final String KEY = "key-of-tenant-0001";
  private static final int CALLERS = 30;
  private static final long BUDGET_MS = 4_000;
  private static final int FIRST_CHUNK_BYTES = 200 << 10;
  private static final int ANSWER_BYTES = 800 << 10;
  private static final int SMALL_CHUNK_BYTES = 64 << 10;
  private static final int ALLOWED_LOSSES = 3;

  private LargeChunks() throws Exception {}

  public static void main(String[] arguments) throws Exception {
    new LargeChunks().run(arguments);
  }

  @Override
  boolean play() throws Exception {
    fleet.service("orders");
    fleet.route("r-orders", "/orders/", "unsafe", "orders", BUDGET_MS);
    fleet.tenant("tenant-1", KEY, 0, 0);
    fleet.publish();
    for (int i = 0; i < 4; i++) {
      fleet.backends.add(server(i));
    }
    fleet.startEntries(2);
    AtomicInteger complete = new AtomicInteger();
    AtomicInteger lost = new AtomicInteger();
    AtomicInteger failed = new AtomicInteger();
    List<Thread> callers = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      Entry entry = fleet.entries.get(i % fleet.entries.size());
      callers.add(Thread.ofVirtual().start(() -> order(entry, complete, lost, failed)));
      Thread.sleep(100);
    }
    for (Thread caller : callers) {
      caller.join();
    }
    record.conclude(
        "second orders on kept connections: complete answers "
            + complete
            + ", run and the connection closed without a complete answer "
            + lost
            + ", other answers "
            + failed);
    return lost.get() <= ALLOWED_LOSSES;
  }

  private Backend server(int number) throws IOException {
    return new Backend(fleet.store, "server-" + number, "orders", "zone-" + number % 3, record) {
      @Override
      boolean answer(Socket socket, Http.Message request, String attempt, int requestNumber)
          throws IOException, InterruptedException {
        if (!request.startLine().contains("/large")) {
          return super.answer(socket, request, attempt, requestNumber);
        }
        String seal = seal();
        byte[] body = body(seal, ANSWER_BYTES);
        record.answered(attempt, id, seal, body);
        OutputStream out = socket.getOutputStream();
        write(out, chunkedHead(attempt, seal));
        int sent = 0;
        while (sent < body.length) {
          int rest = body.length - sent;
          int size =
              Math.min(rest, trouble ? (sent == 0 ? FIRST_CHUNK_BYTES : rest) : SMALL_CHUNK_BYTES);
          write(out, Integer.toHexString(size) + "\r\n");
          out.write(body, sent, size);
          write(out, "\r\n");
          sent += size;
        }
        write(out, "0\r\n\r\n");
        return true;
      }
    };
  }

  private static String chunkedHead(String attempt, String seal) {
    return "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n"
        .formatted(Wire.ATTEMPT, attempt, Wire.SEAL, seal);
  }

  private void order(
      Entry entry, AtomicInteger complete, AtomicInteger lost, AtomicInteger failed) {
    String first = Caller.newId();
    String second = Caller.newId();
    try (Caller caller = new Caller(entry.callerPort, record)) {
      caller.send("POST", Fleet.HOST, "/orders/new", first, KEY, BUDGET_MS, new byte[200]);
      if (caller.receive(first, BUDGET_MS + 1_000) == null) {
        throw new IOException("the first order was not answered");
      }
      caller.send("POST", Fleet.HOST, "/orders/large", second, KEY, BUDGET_MS, new byte[200]);
      Http.Message answer = caller.receive(second, BUDGET_MS + 1_000);
      boolean isEnded = answer == null || !answer.complete();
      if (isEnded && record.runCount(second) > 0) {
        lost.incrementAndGet();
      } else if (!isEnded && answer.status() == 200 && answer.body().length == ANSWER_BYTES) {
        complete.incrementAndGet();
      } else {
        failed.incrementAndGet();
      }
    } catch (IOException e) {
      record.note("request=" + second + " " + e);
      failed.incrementAndGet();
    }
  }
}
