package org.bergamotcross.bench;

import java.util.ArrayDeque;
import java.util.Deque;

/** A simulated target with a fixed number of slots and a FIFO queue. */
final class SimulatedTarget {

  /** An attempt that the target executes or queues. */
  static final class Job {
    private final long serviceMicros;
    private final Runnable onComplete;
    private boolean isFinished;
    private boolean isRunning;

    Job(long serviceMicros, Runnable onComplete) {
      this.serviceMicros = serviceMicros;
      this.onComplete = onComplete;
    }
  }

  private final EventScheduler scheduler;
  private final int slots;
  private final int queueLimit;
  private final Deque<Job> waiting = new ArrayDeque<>();
  private int busySlots;

  /** Creates a target with an unbounded queue. */
  SimulatedTarget(EventScheduler scheduler) {
    this(scheduler, Deployment.SLOTS_PER_TARGET, Integer.MAX_VALUE);
  }

  SimulatedTarget(EventScheduler scheduler, int slots, int queueLimit) {
    this.scheduler = scheduler;
    this.slots = slots;
    this.queueLimit = queueLimit;
  }

  /** Returns whether the queue has no room for another job. */
  boolean isFull() {
    return waiting.size() >= queueLimit;
  }

  int busySlots() {
    return busySlots;
  }

  void accept(Job job) {
    if (job.isFinished) {
      return;
    }
    if (busySlots >= slots) {
      waiting.add(job);
      return;
    }
    busySlots++;
    job.isRunning = true;
    scheduler.scheduleAfter(job.serviceMicros, () -> complete(job));
  }

  /** Cancels a job and frees its slot, as a closed connection does. */
  void cancel(Job job) {
    if (!job.isFinished) {
      job.isFinished = true;
      waiting.remove(job);
      if (job.isRunning) {
        release();
      }
    }
  }

  private void complete(Job job) {
    if (job.isFinished) {
      return;
    }
    job.isFinished = true;
    job.onComplete.run();
    release();
  }

  private void release() {
    busySlots--;
    Job next = waiting.poll();
    if (next != null) {
      accept(next);
    }
  }
}
