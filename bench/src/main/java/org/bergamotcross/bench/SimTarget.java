package org.bergamotcross.bench;

import java.util.ArrayDeque;
import java.util.Deque;

/** A target with a number of slots; what does not fit waits in order of arrival. */
final class SimTarget {

  /** One attempt at the target. */
  static final class Job {
    private final long serviceMicros;
    private final Runnable onDone;
    private boolean cancelled;
    private boolean running;

    Job(long serviceMicros, Runnable onDone) {
      this.serviceMicros = serviceMicros;
      this.onDone = onDone;
    }
  }

  private final Simulation simulation;
  private final Deque<Job> waiting = new ArrayDeque<>();
  private int busy;

  SimTarget(Simulation simulation) {
    this.simulation = simulation;
  }

  void accept(Job job) {
    if (job.cancelled) {
      return;
    }
    if (busy >= Deployment.SLOTS) {
      waiting.add(job);
      return;
    }
    busy++;
    job.running = true;
    simulation.in(job.serviceMicros, () -> done(job));
  }

  /** The caller closed the connection, which frees the slot. */
  void cancel(Job job) {
    if (!job.cancelled) {
      job.cancelled = true;
      waiting.remove(job);
      if (job.running) {
        release();
      }
    }
  }

  private void done(Job job) {
    if (job.cancelled) {
      return;
    }
    job.cancelled = true;
    job.onDone.run();
    release();
  }

  private void release() {
    busy--;
    Job next = waiting.poll();
    if (next != null) {
      accept(next);
    }
  }
}
