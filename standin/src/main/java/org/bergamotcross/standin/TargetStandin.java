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
 * Stands in for a target: runs requests in a few slots, records them, and fails on demand.
 *
 * <p>Methods that change something return when the change is in force.
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
            listens -> listens ? listener.listen() : listener.shutDown());
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
   * Starts to describe a target.
   *
   * @param name the name that its answers carry
   * @return a builder: a free port, 4 slots, 400 connections, 5 ms of work for each request
   */
  public static Builder builder(String name) {
    return new Builder(name);
  }

  /**
   * Returns the address.
   *
   * @return where the target listens
   */
  public InetSocketAddress address() {
    return listener.address();
  }

  /**
   * Returns what the target has run.
   *
   * @return the executions, which go on growing
   */
  public Executions executions() {
    return executions;
  }

  /**
   * Returns the number of open connections.
   *
   * @return the present number
   */
  public int openConnections() {
    return listener.openConnections();
  }

  /**
   * Switches a fault on in place of the present one.
   *
   * @param fault the fault, {@link TargetFault.None} to end all faults
   */
  public void injectFault(TargetFault fault) {
    apply(new TargetChange.SetFault(fault, Optional.empty()));
  }

  /**
   * Starts or ends draining: answers say so, and new work is refused as not run.
   *
   * @param draining whether the target drains
   */
  public void setDraining(boolean draining) {
    apply(new TargetChange.SetDraining(draining));
  }

  /**
   * Changes the time that work takes.
   *
   * @param workTime the time for each request that starts from now on
   */
  public void setWorkTime(Duration workTime) {
    apply(new TargetChange.SetWorkTime(workTime));
  }

  /**
   * Changes the number of slots.
   *
   * @param slots the number of requests that run at once
   */
  public void setSlots(int slots) {
    apply(new TargetChange.SetSlots(slots));
  }

  /**
   * Makes the target slower for a while, as after a start.
   *
   * @param length how long it is cold
   * @param factor by how much work takes longer
   */
  public void simulateColdStart(Duration length, double factor) {
    apply(new TargetChange.StartColdPhase(length, factor));
  }

  /**
   * Fixes what {@code /health} says, whatever the state of the target.
   *
   * @param passes the verdict; nothing for the default, which is that it passes
   */
  public void overrideHealth(Optional<Boolean> passes) {
    apply(new TargetChange.OverrideHealth(passes));
  }

  /**
   * Fixes the number of running requests that {@code /load} says.
   *
   * @param running the number; nothing for the truth
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

  /** Describes a target stand-in. */
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
     * Sets the address.
     *
     * @param newAddress where to listen; port 0 for a free port
     * @return this builder
     */
    public Builder address(InetSocketAddress newAddress) {
      address = newAddress;
      return this;
    }

    /**
     * Sets the number of slots.
     *
     * @param newSlots the number of requests that run at once
     * @return this builder
     */
    public Builder slots(int newSlots) {
      slots = newSlots;
      return this;
    }

    /**
     * Sets the number of connections.
     *
     * @param newConnections the number beyond which a new connection is closed at once
     * @return this builder
     */
    public Builder maxConnections(int newConnections) {
      maxConnections = newConnections;
      return this;
    }

    /**
     * Sets the work time.
     *
     * @param newWorkTime the time that each request takes
     * @return this builder
     */
    public Builder workTime(Duration newWorkTime) {
      workTime = newWorkTime;
      return this;
    }

    /**
     * Sets the headers that it understands and sends.
     *
     * @param newDialect the dialect
     * @return this builder
     */
    public Builder protocol(TargetProtocol newDialect) {
      protocol = newDialect;
      return this;
    }

    /**
     * Sets the number of executions that are kept.
     *
     * @param newLimit the number beyond which the oldest ones are dropped
     * @return this builder
     */
    public Builder maxExecutions(int newLimit) {
      maxExecutions = newLimit;
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
