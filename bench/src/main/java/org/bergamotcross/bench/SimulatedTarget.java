package org.bergamotcross.bench;

import java.util.ArrayDeque;
import java.util.Deque;

/** A simulated target with a fixed number of slots and an unbounded FIFO queue. */
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
  private final Deque<Job> waiting = new ArrayDeque<>();
  private int busySlots;

  SimulatedTarget(EventScheduler scheduler) {
    this.scheduler = scheduler;
  }

  void accept(Job job) {
    if (job.isFinished) {
      return;
    }
    if (busySlots >= Deployment.SLOTS_PER_TARGET) {
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
