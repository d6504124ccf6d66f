package review2;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * LOST: seven of eight machines are lost; the one that is left gets the usual traffic of a small
 * site, runs out of memory and ends with all its requests.
 */
final class LastMachine {
  private static final int MACHINES = 8;
  private static final int LOST_MACHINES = 7;

  /** The backends, slots, work times and requests a second of wislo-dispatch. */
  private static final int ORDER_BACKENDS = 12;

  private static final int READ_BACKENDS = 22;
  private static final int SLOTS = 4;
  private static final long ORDER_WORK_MS = 310;
  private static final long READ_WORK_MS = 490;
  private static final double REQUESTS_PER_SECOND = 103.7;
  /** Only the second request of a channel is counted, because the channel is a kept one then. */
  private static final int REQUESTS_PER_CHANNEL = 2;

  private static final double ORDERS_PER_REQUEST = 48.3 / 103.7;
  private static final int ORDER_DEADLINE_MS = 8_000;
  private static final int READ_DEADLINE_MS = 12_000;

  private static final int BODY_BYTES = 130_000;

  private static final long LOSS_AFTER_MS = 5_000;
  private static final long CONTACT_MS = 3_000;
  private static final long LENGTH_MS = 45_000;
  private static final long REPORT_EACH_MS = 5_000;

  private final Record record;
  private final boolean trouble;
  private final Set<String> ran = ConcurrentHashMap.newKeySet();
  private final List<Entry> machines = new ArrayList<>();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private final AtomicInteger lostOrders = new AtomicInteger();
  private final AtomicInteger noMachine = new AtomicInteger();
  private final AtomicInteger unanswered = new AtomicInteger();
  private volatile boolean machinesLost;

  private LastMachine(Record record, boolean trouble) {
    this.record = record;
    this.trouble = trouble;
  }

  public static void main(String[] arguments) {
    Case.run(
        Path.of(arguments[0]),
        (record, trouble, temporary) -> new LastMachine(record, trouble).play(temporary));
  }

  private boolean play(Path temporary) throws Exception {
    List<Backend> backends = new ArrayList<>();
    try (Store store = new Store()) {
      store.publishConfiguration();
      for (int i = 1; i <= ORDER_BACKENDS + READ_BACKENDS; i++) {
        boolean orders = i <= ORDER_BACKENDS;
        long workMs = orders ? ORDER_WORK_MS : READ_WORK_MS;
        Backend backend =
            new Backend(
                "i-" + i,
                (request, out, channel) -> {
                  ran.add(request.id());
                  Thread.sleep(workMs);
                  out.write(Backend.response(request, "200 OK", "seal", new byte[BODY_BYTES], ""));
                  return true;
                });
        backend.register(store, orders ? "orders" : "records", SLOTS, 1);
        backends.add(backend);
      }
      startMachines(store, temporary);
      sendRequests();
      return report();
    } finally {
      backends.forEach(Backend::close);
      machines.forEach(Entry::close);
    }
  }

  private void startMachines(Store store, Path temporary) throws Exception {
    int[] peers = new int[MACHINES];
    for (int i = 0; i < MACHINES; i++) {
      peers[i] = Entry.freePort();
    }
    String seeds =
        "127.0.0.1:%d,127.0.0.1:%d,127.0.0.1:%d".formatted(peers[0], peers[1], peers[2]);
    for (int i = 0; i < MACHINES; i++) {
      machines.add(new Entry("front-" + (i + 1), store, temporary, peers[i], seeds, "6s"));
    }
    for (Entry machine : machines) {
      machine.awaitReady();
    }
    Thread.sleep(2_000);
  }

  private Entry lastMachine() {
    return machines.getLast();
  }

  private void sendRequests() throws Exception {
    long start = System.nanoTime();
    long reportAt = 0;
    long sinceStart = 0;
    for (int number = 0; sinceStart < LENGTH_MS; number++) {
      sinceStart = (System.nanoTime() - start) / 1_000_000L;
      if (trouble && !machinesLost && sinceStart >= LOSS_AFTER_MS) {
        machinesLost = true;
        machines.subList(0, LOST_MACHINES).forEach(Entry::close);
        record.line("%d of %d machines are lost", LOST_MACHINES, MACHINES);
      }
      if (sinceStart >= reportAt) {
        reportAt += REPORT_EACH_MS;
        record.line(
            "answered %d, refused %d, lost %d, no machine %d",
            answered.get(), refused.get(), lost.get(), noMachine.get());
        if (!lastMachine().process.isAlive()) {
          return;
        }
      }
      send(number, sinceStart);
      long due = start + (long) (REQUESTS_PER_CHANNEL * number / REQUESTS_PER_SECOND * 1e9);
      TimeUnit.NANOSECONDS.sleep(Math.max(0, due - System.nanoTime()));
    }
  }

  /** Sends a request on a new channel to one of the machines that are left, then a second one. */
  private void send(int number, long sinceStart) {
    Entry machine = machinesLost ? lastMachine() : machines.get(number % MACHINES);
    boolean isOrder =
        (long) ((number + 1) * ORDERS_PER_REQUEST) > (long) (number * ORDERS_PER_REQUEST);
    // Requests before that may have been disturbed by the loss.
    boolean counted = !trouble || sinceStart > LOSS_AFTER_MS + CONTACT_MS;
    String id = (isOrder ? "order-" : "read-") + number;
    Thread.startVirtualThread(
        () -> {
          try (Consumer consumer = new Consumer(machine.callers)) {
            consumer.timeout(READ_DEADLINE_MS + 2_000);
            request(consumer, id, isOrder, false);
            request(consumer, id + "-on-kept-channel", isOrder, counted);
          } catch (IOException e) {
            noMachine.addAndGet(counted && !ran.contains(id) ? 1 : 0);
          }
        });
  }

  private void request(Consumer consumer, String id, boolean isOrder, boolean counted)
      throws IOException {
    try {
      if (isOrder) {
        consumer.send("POST", "/order/new", id, ORDER_DEADLINE_MS, new byte[0]);
      } else {
        consumer.send("GET", "/read/note", id, READ_DEADLINE_MS, new byte[0]);
      }
      Message answer = consumer.answer();
      if (answer == null) {
        throw new IOException("closed");
      }
      (answer.status() == 200 ? answered : refused).incrementAndGet();
    } catch (SocketTimeoutException e) {
      unanswered.incrementAndGet();
    } catch (IOException e) {
      if (counted && ran.contains(id)) {
        noteLoss(id, isOrder, e);
      }
      throw e;
    }
  }

  private void noteLoss(String id, boolean isOrder, IOException failure) {
    lost.incrementAndGet();
    lostOrders.addAndGet(isOrder ? 1 : 0);
    record.line("%s was passed on, and its channel ended: %s", id, failure.getMessage());
  }

  private boolean report() throws Exception {
    Thread.sleep(1_500);
    boolean alive = lastMachine().process.isAlive();
    record.line(
        "the last machine %s",
        alive ? "runs" : "has ended with " + lastMachine().process.exitValue());
    Files.readAllLines(lastMachine().log).stream()
        .filter(line -> line.contains("OutOfMemoryError"))
        .limit(1)
        .forEach(line -> record.line("its log: %s", line));
    record.line(
        "answered %d, refused %d, passed on from a kept channel and lost %d, %d of them orders,"
            + " channels that found no machine %d, unanswered at the time budget %d",
        answered.get(),
        refused.get(),
        lost.get(),
        lostOrders.get(),
        noMachine.get(),
        unanswered.get());
    return lost.get() > 3;
  }
}
