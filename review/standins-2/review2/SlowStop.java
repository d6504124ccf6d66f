package review2;

import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * LOST: a planned stop while consumers still read answers; the instance exits long before the end
 * of the grace and cuts them.
 */
final class SlowStop {
  private static final int FIRST_BODY_BYTES = 325_000;
  private static final int MORE_BODY_BYTES = 5_000;
  private static final int CHUNK_BYTES = 131_072;
  private static final int BYTES_PER_SECOND = 60_000;
  private static final long GRACE_MS = 6_000;

  /** When the SIGTERM is sent, after the large requests. */
  private static final long TERM_AFTER_MS = 500;

  private static final int CONSUMERS = 6;

  private SlowStop() {}

  public static void main(String[] arguments) {
    Case.run(Path.of(arguments[0]), SlowStop::play);
  }

  private static boolean answer(Message request, OutputStream out, Set<String> ran)
      throws Exception {
    ran.add(request.id());
    String path = request.path();
    if (path.startsWith("/read/large/")) {
      int length = Integer.parseInt(path.substring("/read/large/".length()));
      Backend.writeChunked(out, request, SlowConsumer.body(length), CHUNK_BYTES);
    } else {
      out.write(Backend.response(request, "200 OK", "seal", "small".getBytes(), ""));
    }
    return true;
  }

  private static boolean play(Record record, boolean trouble, Path temporary) throws Throwable {
    Set<String> ran = ConcurrentHashMap.newKeySet();
    List<Backend> backends = new ArrayList<>();
    try (Store store = new Store()) {
      store.publishConfiguration();
      for (int i = 1; i <= 4; i++) {
        Backend backend = new Backend("i-records-" + i, (r, out, channel) -> answer(r, out, ran));
        backend.register(store, "records", 4, 1);
        backends.add(backend);
      }
      try (Entry entry = Entry.start("front-1", store, temporary)) {
        return play(record, trouble, entry, ran);
      }
    } finally {
      backends.forEach(Backend::close);
    }
  }

  private static boolean play(Record record, boolean trouble, Entry entry, Set<String> ran)
      throws Exception {
    AtomicInteger cut = new AtomicInteger();
    AtomicLong termAt = new AtomicLong();
    CountDownLatch connected = new CountDownLatch(CONSUMERS);
    List<Thread> consumers = new ArrayList<>();
    for (int i = 0; i < CONSUMERS; i++) {
      String id = "read-" + i;
      int bytes = FIRST_BODY_BYTES + i * MORE_BODY_BYTES;
      consumers.add(
          Thread.ofPlatform()
              .daemon()
              .start(
                  () -> {
                    try {
                      SlowConsumer.End end =
                          SlowConsumer.read(
                              entry.callers,
                              id,
                              bytes,
                              SlowConsumer.Pace.slow(BYTES_PER_SECOND),
                              () -> {
                                connected.countDown();
                                connected.await();
                              });
                      long since = (end.atNanos() - termAt.get()) / 1_000_000L;
                      record.line(
                          "%s: %s after %d of %d bytes, %d ms after the SIGTERM, passed on: %s",
                          id,
                          end.how(),
                          end.bytes(),
                          bytes,
                          since,
                          ran.contains(id));
                      if (!end.complete() && ran.contains(id) && since < GRACE_MS) {
                        cut.incrementAndGet();
                      }
                    } catch (Throwable e) {
                      record.line("%s: %s", id, e);
                    }
                  }));
    }
    connected.await();
    Thread.sleep(TERM_AFTER_MS);
    termAt.set(System.nanoTime());
    if (trouble) {
      record.line("SIGTERM, grace %d ms", GRACE_MS);
      entry.terminate();
      entry.process.onExit().thenAccept(process -> record.line("the instance has exited"));
    }
    for (Thread consumer : consumers) {
      consumer.join(15_000);
    }
    record.line("answers cut within the grace: %d", cut.get());
    return cut.get() > 0;
  }
}
