package org.bergamotcross.bench;

import java.util.PriorityQueue;
import org.bergamotcross.kernel.Now;

/** Runs events in the order of their time. */
final class Simulation {
  private record Event(long micros, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(micros, other.micros);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long micros;
  private long order;

  long micros() {
    return micros;
  }

  Now now() {
    return new Now(micros * 1_000, micros / 1_000);
  }

  void in(long delayMicros, Runnable action) {
    events.add(new Event(micros + Math.max(0, delayMicros), order++, action));
  }

  void runUntil(long endMicros) {
    while (!events.isEmpty() && events.peek().micros() <= endMicros) {
      Event event = events.poll();
      micros = event.micros();
      event.action().run();
    }
    micros = endMicros;
  }
}
