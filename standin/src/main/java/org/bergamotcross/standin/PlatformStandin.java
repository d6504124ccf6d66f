package org.bergamotcross.standin;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.bergamotcross.kernel.Closer;
import org.bergamotcross.kernel.Kernel;
import org.bergamotcross.kernel.Ring;
import org.bergamotcross.kernel.Topic;

/**
 * Stand-in for the platform's log service and instance list, with fault injection.
 *
 * <p>Methods that change the stand-in return once the change is in effect.
 *
 * <pre>{@code
 * try (PlatformStandin platform = PlatformStandin.builder().retention(100).start()) {
 *   client.connect(platform.address());
 *   platform.fault(new PlatformFault.Outage(false));
 * }
 * }</pre>
 */
public final class PlatformStandin implements AutoCloseable {
  private static final Topic<PlatformInput> TOPIC = new Topic<>("platform");
  private static final int RING_CAPACITY = 8192;
  private static final int MAX_CONNECTIONS = 4096;

  private final Closer closer = new Closer();
  private final Ring<PlatformInput> ring;
  private final HttpListener listener;

  private PlatformStandin(Builder builder) {
    StandinRuntime runtime = closer.register("runtime", StandinRuntime.acquire());
    Kernel kernel = closer.register("kernel", StandinRuntime.newKernel());
    ring = kernel.context().openRing(TOPIC, RING_CAPACITY);
    PlatformDuty duty =
        new PlatformDuty(
            builder.retention,
            builder.instanceListLag,
            runtime::schedule,
            (delay, message) -> runtime.schedule(delay, () -> ring.offerReserved(message)));
    kernel.context().startDuty(TOPIC, duty);
    PlatformHttp http = new PlatformHttp(runtime, message -> ring.offer(message).isAccepted());
    listener = new HttpListener(runtime, builder.address, MAX_CONNECTIONS, http);
    closer.register("listener", () -> BlockingWait.await(listener.shutDown()));
  }

  /**
   * Creates a builder. Defaults: a free port, unlimited retention, an instance list without lag.
   *
   * @return the builder
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Returns the address at which the stand-in listens.
   *
   * @return the address with the bound port
   */
  public InetSocketAddress address() {
    return listener.address();
  }

  /**
   * Injects a fault into all requests; it replaces all other faults.
   *
   * @param fault the fault; {@link PlatformFault.None} removes all faults
   */
  public void injectFault(PlatformFault fault) {
    injectFault(fault, FaultScope.ALL_REQUESTS);
  }

  /**
   * Injects a fault into the requests of a scope.
   *
   * @param fault the fault
   * @param scope the affected requests; a scope of all clients replaces all faults of its
   *     operations
   */
  public void injectFault(PlatformFault fault, FaultScope scope) {
    apply(new PlatformChange.SetFault(fault, scope));
  }

  /**
   * Sets the retention of all streams.
   *
   * @param records the number of records that each stream keeps; trimmed records never become
   *     readable again
   */
  public void setRetention(int records) {
    apply(new PlatformChange.SetRetention(records));
  }

  /**
   * Sets the lag of the instance list.
   *
   * @param lag the delay after which a change becomes visible
   */
  public void setInstanceListLag(Duration lag) {
    apply(new PlatformChange.SetListLag(lag));
  }

  /**
   * Adds or replaces an entry of the instance list, after the lag.
   *
   * @param instance the entry
   */
  public void registerInstance(InstanceListEntry instance) {
    apply(new PlatformChange.Register(instance));
  }

  /**
   * Removes an entry of the instance list, after the lag.
   *
   * @param id the id of the instance
   */
  public void removeInstance(String id) {
    apply(new PlatformChange.Remove(id));
  }

  /**
   * Appends a record directly, bypassing HTTP, as a client without a name.
   *
   * @param stream the name of the stream
   * @param text the content of the record
   * @return the offset, or empty if an active fault rejects the append
   */
  public Optional<Long> append(String stream, String text) {
    CompletableFuture<PlatformResponse> response = new CompletableFuture<>();
    byte[] data = text.getBytes(StandardCharsets.UTF_8);
    ring.offerReserved(new PlatformInput.Append(stream, data, Optional.empty(), response));
    return BlockingWait.await(response) instanceof PlatformResponse.Appended appended
        ? Optional.of(appended.offset())
        : Optional.empty();
  }

  /**
   * Returns all records ever appended to a stream, including trimmed ones.
   *
   * @param stream the name of the stream
   * @return the records in order of offset
   */
  public List<StoredRecord> history(String stream) {
    CompletableFuture<List<StoredRecord>> response = new CompletableFuture<>();
    ring.offerReserved(new PlatformInput.History(stream, response));
    return BlockingWait.await(response);
  }

  private void apply(PlatformChange change) {
    CompletableFuture<Void> applied = new CompletableFuture<>();
    ring.offerReserved(new PlatformInput.Change(change, applied));
    BlockingWait.await(applied);
  }

  @Override
  public void close() {
    closer.close();
  }

  /** Builder for platform stand-ins. */
  public static final class Builder {
    private InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private int retention = Integer.MAX_VALUE;
    private Duration instanceListLag = Duration.ZERO;

    private Builder() {}

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
     * Sets the retention of all streams.
     *
     * @param records the number of records that each stream keeps
     * @return this builder
     */
    public Builder retention(int records) {
      retention = records;
      return this;
    }

    /**
     * Sets the lag of the instance list.
     *
     * @param lag the delay after which a change becomes visible
     * @return this builder
     */
    public Builder instanceListLag(Duration lag) {
      instanceListLag = lag;
      return this;
    }

    /**
     * Starts the stand-in.
     *
     * @return the running stand-in
     * @throws IllegalStateException if the address can't be bound
     */
    public PlatformStandin start() {
      PlatformStandin standin = new PlatformStandin(this);
      BlockingWait.await(standin.listener.listen());
      return standin;
    }
  }
}
