package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * GONE: orders wait for a slot, some of their consumers close their channels meanwhile, and the
 * orders are passed on to backends all the same.
 */
final class GaveUp {
  private static final int BACKENDS = 2;
  private static final int SLOTS = 4;
  private static final long WORK_MS = 310;
  private static final int CONSUMERS = 100;

  /** One in five consumers leaves, half of the latency target after it sent its request. */
  private static final int LEAVES_EACH = 5;

  private static final long LEAVES_AFTER_MS = 750;
  private static final int BODY_BYTES = 300_000;
  private static final int DEADLINE_MS = 8_000;

  /** How long after the close a request may still reach a backend. */
  private static final long ALLOWED_MS = 500;

  private static final int A_FEW = 5;

  private GaveUp() {}

  public static void main(String[] arguments) {
    Case.run(Path.of(arguments[0]), GaveUp::play);
  }

  private static boolean play(Record record, boolean trouble, Path temporary) throws Throwable {
    Map<String, Long> closedAt = new ConcurrentHashMap<>();
    AtomicInteger late = new AtomicInteger();
    List<Backend> backends = new ArrayList<>();
    try (Store store = new Store()) {
      store.publishConfiguration();
      for (int i = 1; i <= BACKENDS; i++) {
        Backend backend =
            new Backend(
                "i-orders-" + i,
                (request, out, channel) -> {
                  String id = request.id();
                  Long closed = closedAt.get(id);
                  long since = closed == null ? 0 : (System.nanoTime() - closed) / 1_000_000L;
                  if (closed != null) {
                    record.line("%s runs %d ms after its consumer has closed", id, since);
                  }
                  if (since > ALLOWED_MS) {
                    late.incrementAndGet();
                  }
                  Thread.sleep(WORK_MS);
                  out.write(Backend.response(request, "200 OK", "seal", "done".getBytes(), ""));
                  return true;
                });
        backend.register(store, "orders", SLOTS, 1);
        backends.add(backend);
      }
      try (Entry entry = Entry.start("front-1", store, temporary)) {
        return play(record, trouble, entry, closedAt, late);
      }
    } finally {
      backends.forEach(Backend::close);
    }
  }

  private static boolean play(
      Record record,
      boolean trouble,
      Entry entry,
      Map<String, Long> closedAt,
      AtomicInteger late)
      throws Exception {
    AtomicInteger answered = new AtomicInteger();
    AtomicInteger refused = new AtomicInteger();
    List<Thread> consumers = new ArrayList<>();
    for (int i = 0; i < CONSUMERS; i++) {
      String id = "order-" + i;
      boolean leaves = trouble && i % LEAVES_EACH == 0;
      consumers.add(
          Thread.startVirtualThread(
              () -> {
                try (Consumer consumer = new Consumer(entry.callers)) {
                  consumer.timeout(DEADLINE_MS + 2_000);
                  consumer.send("POST", "/order/new", id, DEADLINE_MS, new byte[BODY_BYTES]);
                  if (leaves) {
                    Thread.sleep(LEAVES_AFTER_MS);
                    consumer.close();
                    closedAt.put(id, System.nanoTime());
                    return;
                  }
                  Message answer = consumer.answer();
                  (answer != null && answer.status() == 200 ? answered : refused)
                      .incrementAndGet();
                } catch (Exception e) {
                  record.line("%s: %s", id, e);
                }
              }));
    }
    for (Thread consumer : consumers) {
      consumer.join();
    }
    Thread.sleep(1_000);
    record.line(
        "answered %d, refused %d, left %d, passed on over %d ms after the close %d",
        answered.get(), refused.get(), closedAt.size(), ALLOWED_MS, late.get());
    return late.get() > A_FEW;
  }
}
