package review2;

import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A faulty backend sends additional bytes after a complete answer, in the same write; they change
 * the status of the answer to the next request on the channel.
 *
 * <p>With the argument {@code mixed}, every second order fails at its backend, and the additional
 * bytes are the start of a second copy of the answer before. With {@code twice}, every order
 * succeeds, and the additional bytes are the start of a 421.
 */
final class StaleBytes {
  private static final int ORDERS = 30;

  /** What a backend did with a request. */
  private record Run(String backend, String status, String seal) {}

  private final boolean mixed;
  private final boolean trouble;
  private final Record record;
  private final Map<String, List<Run>> runs = new ConcurrentHashMap<>();
  private final AtomicInteger seals = new AtomicInteger();

  private StaleBytes(boolean mixed, boolean trouble, Record record) {
    this.mixed = mixed;
    this.trouble = trouble;
    this.record = record;
  }

  public static void main(String[] arguments) {
    Case.run(
        Path.of(arguments[0]),
        (record, trouble, temporary) ->
            new StaleBytes(arguments[1].equals("mixed"), trouble, record).play(temporary));
  }

  private boolean play(Path temporary) throws Exception {
    try (Store store = new Store();
        Backend faulty =
            new Backend("i-orders-1", (r, out, c) -> answer("i-orders-1", r, out, trouble));
        Backend sound =
            new Backend("i-orders-2", (r, out, c) -> answer("i-orders-2", r, out, false))) {
      store.publishConfiguration();
      faulty.register(store, "orders", 4, 1);
      sound.register(store, "orders", 4, 1);
      try (Entry entry = Entry.start("front-1", store, temporary)) {
        int broken = 0;
        for (int number = 0; number < ORDERS; number++) {
          broken += order(entry, "order-" + number) ? 1 : 0;
          Thread.sleep(20);
        }
        record.line("orders %d, rule broken for %d", ORDERS, broken);
        return broken > 0;
      }
    }
  }

  private boolean answer(String backend, Message request, OutputStream out, boolean faulty)
      throws Exception {
    String id = request.id();
    int number = seals.incrementAndGet();
    boolean fails = mixed && number % 2 == 0;
    String status = fails ? "500 Internal Server Error" : "200 OK";
    String seal = "seal-" + number;
    byte[] extra =
        faulty && !fails
            ? (mixed ? "HTTP/1.1 200 " : "HTTP/1.1 421 ").getBytes(StandardCharsets.US_ASCII)
            : new byte[0];
    runs.computeIfAbsent(id, key -> new CopyOnWriteArrayList<>())
        .add(new Run(backend, status, seal));
    record.line(
        "%s ran %s, answers %s with %s and %d additional bytes", backend, id, status, seal,
        extra.length);
    byte[] body = (fails ? "order failed" : "order placed").getBytes(StandardCharsets.US_ASCII);
    byte[] answer = Backend.response(request, status, seal, body, "");
    byte[] all = new byte[answer.length + extra.length];
    System.arraycopy(answer, 0, all, 0, answer.length);
    System.arraycopy(extra, 0, all, answer.length, extra.length);
    out.write(all);
    out.flush();
    return true;
  }

  /** Sends an order; returns whether the rule was broken for it. */
  private boolean order(Entry entry, String id) throws Exception {
    try (Consumer consumer = new Consumer(entry.callers)) {
      consumer.timeout(10_000);
      consumer.send("POST", "/order/new", id, 8_000, "one pane".getBytes());
      Message answer = consumer.answer();
      if (answer == null) {
        record.line("consumer got no answer to %s", id);
        return false;
      }
      String seal = answer.seal();
      record.line("consumer got %s to %s, seal %s", answer.startLine(), id, seal);
      List<Run> ran = runs.getOrDefault(id, List.of());
      if (!mixed) {
        if (ran.size() > 1) {
          record.line("TWICE: %s ran %d times: %s", id, ran.size(), ran);
        }
        return ran.size() > 1;
      }
      boolean foreign =
          !seal.isEmpty()
              && ran.stream()
                  .noneMatch(
                      run ->
                          run.seal().equals(seal)
                              && run.status().startsWith(String.valueOf(answer.status())));
      if (foreign) {
        record.line("MIXED: %s got %s, but the backend did %s", id, answer.startLine(), ran);
      }
      return foreign;
    }
  }
}
