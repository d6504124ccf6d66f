package org.bergamotcross.bench;

import java.util.PriorityQueue;
import org.bergamotcross.kernel.ClockReading;

/** Runs the events of a discrete-event simulation in order of their virtual time. */
final class EventScheduler {
  private record ScheduledEvent(long atMicros, long sequence, Runnable action)
      implements Comparable<ScheduledEvent> {
    @Override
    public int compareTo(ScheduledEvent other) {
      int byTime = Long.compare(atMicros, other.atMicros);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>();
  private long timeMicros;
  private long nextSequence;

  long timeMicros() {
    return timeMicros;
  }

  ClockReading now() {
    return new ClockReading(timeMicros * 1_000, timeMicros / 1_000);
  }

  void scheduleAfter(long delayMicros, Runnable action) {
    events.add(new ScheduledEvent(timeMicros + Math.max(0, delayMicros), nextSequence++, action));
  }

  void runUntil(long endMicros) {
    while (!events.isEmpty() && events.peek().atMicros() <= endMicros) {
      ScheduledEvent event = events.poll();
      timeMicros = event.atMicros();
      event.action().run();
    }
    timeMicros = endMicros;
  }
}
