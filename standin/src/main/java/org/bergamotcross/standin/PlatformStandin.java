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
 * Stands in for the platform: its log service and its instance list, with faults on demand.
 *
 * <p>Methods that change something return when the change is in force.
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
   * Starts to describe a stand-in.
   *
   * @return a builder: a free port, all records retained, an instance list without lag
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Returns the address.
   *
   * @return where the stand-in listens
   */
  public InetSocketAddress address() {
    return listener.address();
  }

  /**
   * Switches a fault on for all requests; it replaces all other faults.
   *
   * @param fault the fault, {@link PlatformFault.None} to end all faults
   */
  public void injectFault(PlatformFault fault) {
    injectFault(fault, FaultScope.ALL_REQUESTS);
  }

  /**
   * Switches a fault on for some requests.
   *
   * @param fault the fault
   * @param scope the requests; without instances it replaces all faults in its direction
   */
  public void injectFault(PlatformFault fault, FaultScope scope) {
    apply(new PlatformChange.SetFault(fault, scope));
  }

  /**
   * Changes the retention of all streams.
   *
   * @param records the number of records that each stream keeps; dropped ones never come back
   */
  public void setRetention(int records) {
    apply(new PlatformChange.SetRetention(records));
  }

  /**
   * Changes the lag of the instance list.
   *
   * @param lag the time after which a change shows
   */
  public void setInstanceListLag(Duration lag) {
    apply(new PlatformChange.SetListLag(lag));
  }

  /**
   * Adds or replaces an entry of the instance list.
   *
   * @param instance the entry
   */
  public void registerInstance(InstanceListEntry instance) {
    apply(new PlatformChange.Register(instance));
  }

  /**
   * Removes an entry of the instance list.
   *
   * @param id the instance
   */
  public void removeInstance(String id) {
    apply(new PlatformChange.Remove(id));
  }

  /**
   * Appends a record as a client without a name, and without HTTP.
   *
   * @param stream the stream
   * @param text the record
   * @return the offset, or nothing when a fault refuses the append
   */
  public Optional<Long> append(String stream, String text) {
    CompletableFuture<PlatformResponse> answer = new CompletableFuture<>();
    byte[] data = text.getBytes(StandardCharsets.UTF_8);
    ring.offerReserved(new PlatformInput.Append(stream, data, Optional.empty(), answer));
    return BlockingWait.await(answer) instanceof PlatformResponse.Appended appended
        ? Optional.of(appended.offset())
        : Optional.empty();
  }

  /**
   * Returns all records ever appended to a stream, also those past retention.
   *
   * @param stream the stream
   * @return the records in order of their offsets
   */
  public List<StoredRecord> history(String stream) {
    CompletableFuture<List<StoredRecord>> answer = new CompletableFuture<>();
    ring.offerReserved(new PlatformInput.History(stream, answer));
    return BlockingWait.await(answer);
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

  /** Describes a platform stand-in. */
  public static final class Builder {
    private InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private int retention = Integer.MAX_VALUE;
    private Duration instanceListLag = Duration.ZERO;

    private Builder() {}

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
     * Sets the retention.
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
     * @param lag the time after which a change shows
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
