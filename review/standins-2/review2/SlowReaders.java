package review2;

import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * LOST: consumers read large answers slowly, as many as the backends have slots; the instance runs
 * out of memory and ends with all its requests.
 *
 * <p>Without the disruption the same consumers read as fast as they can.
 */
final class SlowReaders {
  private static final int BACKENDS = 34;
  private static final int SLOTS = 6;
  private static final int CONSUMERS = BACKENDS * SLOTS;
  private static final int BODY_BYTES = 1_000_000;
  private static final int CHUNK_BYTES = 131_072;
  private static final int SLOW_BYTES_PER_SECOND = 60_000;
  private static final long PAUSE_BETWEEN_CONSUMERS_MS = 50;
  private static final long WAIT_SECONDS = 19;

  /** The time budget of the requests and the timeout of their route. */
  private static final long TIMEOUT_MS = 20_000;

  private SlowReaders() {}

  public static void main(String[] arguments) {
    Case.run(Path.of(arguments[0]), SlowReaders::play);
  }

  private static boolean play(Record record, boolean trouble, Path temporary) throws Throwable {
    Set<String> ran = ConcurrentHashMap.newKeySet();
    List<Backend> backends = new ArrayList<>();
    try (Store store = new Store()) {
      store.publishConfiguration();
      for (int i = 1; i <= BACKENDS; i++) {
        Backend backend = new Backend("i-records-" + i, (r, out, channel) -> answer(r, out, ran));
        backend.register(store, "records", SLOTS, 1);
        backends.add(backend);
      }
      try (Entry entry = Entry.start("front-1", store, temporary)) {
        return play(record, trouble, entry, ran);
      }
    } finally {
      backends.forEach(Backend::close);
    }
  }

  private static boolean answer(Message request, OutputStream out, Set<String> ran)
      throws Exception {
    ran.add(request.id());
    if (!request.path().startsWith("/read/large/")) {
      out.write(Backend.response(request, "200 OK", "seal", "small".getBytes(), ""));
      return true;
    }
    Backend.writeChunked(out, request, SlowConsumer.body(BODY_BYTES), CHUNK_BYTES);
    return true;
  }

  private static boolean play(Record record, boolean trouble, Entry entry, Set<String> ran)
      throws Exception {
    SlowConsumer.Pace pace =
        trouble ? SlowConsumer.Pace.slow(SLOW_BYTES_PER_SECOND) : SlowConsumer.Pace.fast();
    AtomicInteger complete = new AtomicInteger();
    AtomicInteger withoutAnswer = new AtomicInteger();
    AtomicInteger partly = new AtomicInteger();
    AtomicInteger notPassedOn = new AtomicInteger();
    AtomicInteger timedOut = new AtomicInteger();
    List<Thread> consumers = new ArrayList<>();
    for (int i = 0; i < CONSUMERS; i++) {
      String id = "read-" + i;
      consumers.add(
          Thread.ofPlatform()
              .daemon()
              .start(
                  () -> {
                    try {
                      SlowConsumer.End end =
                          SlowConsumer.read(entry.callers, id, BODY_BYTES, pace, () -> {});
                      if (end.complete()) {
                        complete.incrementAndGet();
                        return;
                      }
                      boolean passedOn = ran.contains(id);
                      if (end.lastedMs() >= TIMEOUT_MS) {
                        timedOut.incrementAndGet();
                        return;
                      }
                      (!passedOn ? notPassedOn : end.bytes() == 0 ? withoutAnswer : partly)
                          .incrementAndGet();
                      record.line(
                          "%s: %s after %d bytes and %d ms, passed on: %s",
                          id, end.how(), end.bytes(), end.lastedMs(), passedOn);
                    } catch (Throwable e) {
                      record.line("%s: %s", id, e);
                    }
                  }));
      Thread.sleep(PAUSE_BETWEEN_CONSUMERS_MS);
    }
    record.line("%d consumers have asked, %d requests run", CONSUMERS, ran.size());
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
    for (Thread consumer : consumers) {
      consumer.join(Math.max(1, (until - System.nanoTime()) / 1_000_000L));
    }
    boolean alive = entry.process.isAlive();
    record.line("the instance %s", alive ? "runs" : "has ended with " + entry.process.exitValue());
    Files.readAllLines(entry.log).stream()
        .filter(line -> line.contains("OutOfMemoryError") || line.contains("Uncaught error"))
        .limit(2)
        .forEach(line -> record.line("its log: %s", line));
    record.line(
        "answers complete %d, passed on and channel closed without an answer %d,"
            + " with a part of it %d, not passed on %d, past the timeout %d",
        complete.get(), withoutAnswer.get(), partly.get(), notPassedOn.get(),
        timedOut.get());
    return withoutAnswer.get() + partly.get() > 3;
  }
}
