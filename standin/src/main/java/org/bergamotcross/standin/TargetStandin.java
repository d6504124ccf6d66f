package org.bergamotcross.standin;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.bergamotcross.kernel.Closer;
import org.bergamotcross.kernel.Kernel;
import org.bergamotcross.kernel.Ring;
import org.bergamotcross.kernel.RingOfferResult;
import org.bergamotcross.kernel.Topic;

/**
 * Stand-in for a target that executes requests in a limited number of slots, records the
 * executions, and supports fault injection.
 *
 * <p>Methods that change the target return once the change is in effect.
 *
 * <pre>{@code
 * try (TargetStandin target = TargetStandin.builder("stock-1").start()) {
 *   target.fault(new TargetFault.Stall());
 *   assertThat(target.executions().count("request-7")).isEqualTo(0);
 * }
 * }</pre>
 */
public final class TargetStandin implements AutoCloseable {
  private static final Topic<TargetInput> TOPIC = new Topic<>("target");
  private static final int RING_CAPACITY = 4096;

  private final Closer closer = new Closer();
  private final Executions executions;
  private final Ring<TargetInput> ring;
  private final HttpListener listener;

  private TargetStandin(Builder builder) {
    StandinRuntime runtime = closer.register("runtime", StandinRuntime.acquire());
    Kernel kernel = closer.register("kernel", StandinRuntime.newKernel());
    executions = new Executions(builder.maxExecutions);
    ring = kernel.context().openRing(TOPIC, RING_CAPACITY);
    TargetHttp http =
        new TargetHttp(runtime, builder.name, executions, new RingSender(ring), builder.protocol);
    listener = new HttpListener(runtime, builder.address, builder.maxConnections, http);
    TargetDuty duty =
        new TargetDuty(
            builder.slots,
            builder.workTime,
            executions,
            runtime::schedule,
            (delay, message) -> runtime.schedule(delay, () -> ring.offerReserved(message)),
            listen -> listen ? listener.listen() : listener.shutDown());
    kernel.context().startDuty(TOPIC, duty);
    closer.register("listener", () -> BlockingWait.await(listener.shutDown()));
  }

  private record RingSender(Ring<TargetInput> ring) implements TargetHttp.MessageSender {
    @Override
    public RingOfferResult offer(TargetInput message) {
      return ring.offer(message);
    }

    @Override
    public RingOfferResult offerReserved(TargetInput message) {
      return ring.offerReserved(message);
    }
  }

  /**
   * Creates a builder. Defaults: a free port, 4 slots, 400 connections, a work time of 5 ms.
   *
   * @param name the name of the target in its responses
   * @return the builder
   */
  public static Builder builder(String name) {
    return new Builder(name);
  }

  /**
   * Returns the address at which the target listens.
   *
   * @return the address with the bound port
   */
  public InetSocketAddress address() {
    return listener.address();
  }

  /**
   * Returns the log of executions.
   *
   * @return a live view to which new executions are added
   */
  public Executions executions() {
    return executions;
  }

  /**
   * Counts the open connections.
   *
   * @return the current number
   */
  public int openConnections() {
    return listener.openConnections();
  }

  /**
   * Injects a fault in place of the current one.
   *
   * @param fault the fault; {@link TargetFault.None} removes the current fault
   */
  public void injectFault(TargetFault fault) {
    apply(new TargetChange.SetFault(fault, Optional.empty()));
  }

  /**
   * Starts or stops draining; a draining target marks its responses and rejects new requests as not
   * run.
   *
   * @param draining whether the target drains
   */
  public void setDraining(boolean draining) {
    apply(new TargetChange.SetDraining(draining));
  }

  /**
   * Sets the processing time of requests that start from now on.
   *
   * @param workTime the processing time of a request
   */
  public void setWorkTime(Duration workTime) {
    apply(new TargetChange.SetWorkTime(workTime));
  }

  /**
   * Sets the number of slots.
   *
   * @param slots the maximum number of concurrent requests
   */
  public void setSlots(int slots) {
    apply(new TargetChange.SetSlots(slots));
  }

  /**
   * Slows the target down for a limited time, as after a cold start.
   *
   * @param duration how long the target stays cold
   * @param factor the factor by which the work time grows
   */
  public void simulateColdStart(Duration duration, double factor) {
    apply(new TargetChange.StartColdPhase(duration, factor));
  }

  /**
   * Overrides the result of {@code /health}, independently of the state of the target.
   *
   * @param passes whether the check passes; empty restores the default, which is to pass
   */
  public void overrideHealth(Optional<Boolean> passes) {
    apply(new TargetChange.OverrideHealth(passes));
  }

  /**
   * Overrides the number of running requests that {@code /load} reports.
   *
   * @param running the number to report; empty to report the actual number
   */
  public void overrideLoad(Optional<Long> running) {
    apply(new TargetChange.OverrideLoad(running));
  }

  private void apply(TargetChange change) {
    CompletableFuture<Void> applied = new CompletableFuture<>();
    ring.offerReserved(new TargetInput.Change(change, applied));
    BlockingWait.await(applied);
  }

  @Override
  public void close() {
    closer.close();
  }

  /** Builder for target stand-ins. */
  public static final class Builder {
    private final String name;
    private InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private int slots = 4;
    private int maxConnections = 400;
    private int maxExecutions = 100_000;
    private Duration workTime = Duration.ofMillis(5);
    private TargetProtocol protocol = TargetProtocol.DEFAULT;

    private Builder(String name) {
      this.name = name;
    }

    /**
     * Sets the address to listen at.
     *
     * @param newAddress the address; port 0 selects a free port
     * @return this builder
     */
    public Builder address(InetSocketAddress newAddress) {
      address = newAddress;
      return this;
    }

    /**
     * Sets the number of slots.
     *
     * @param newSlots the maximum number of concurrent requests
     * @return this builder
     */
    public Builder slots(int newSlots) {
      slots = newSlots;
      return this;
    }

    /**
     * Sets the maximum number of open connections.
     *
     * @param newMaxConnections the number beyond which a new connection is closed at once
     * @return this builder
     */
    public Builder maxConnections(int newMaxConnections) {
      maxConnections = newMaxConnections;
      return this;
    }

    /**
     * Sets the work time.
     *
     * @param newWorkTime the processing time of a request
     * @return this builder
     */
    public Builder workTime(Duration newWorkTime) {
      workTime = newWorkTime;
      return this;
    }

    /**
     * Sets the HTTP headers that the target reads and sends.
     *
     * @param newProtocol the protocol
     * @return this builder
     */
    public Builder protocol(TargetProtocol newProtocol) {
      protocol = newProtocol;
      return this;
    }

    /**
     * Sets the maximum number of recorded executions.
     *
     * @param newMaxExecutions the number beyond which the oldest executions are dropped
     * @return this builder
     */
    public Builder maxExecutions(int newMaxExecutions) {
      maxExecutions = newMaxExecutions;
      return this;
    }

    /**
     * Starts the target.
     *
     * @return the running target
     * @throws IllegalStateException if the address can't be bound
     */
    public TargetStandin start() {
      TargetStandin target = new TargetStandin(this);
      BlockingWait.await(target.listener.listen());
      return target;
    }
  }
}
