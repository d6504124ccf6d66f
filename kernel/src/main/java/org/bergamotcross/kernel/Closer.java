package org.bergamotcross.kernel;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Collects resources and closes them in reverse order of registration.
 *
 * <pre>{@code
 * try (Closer closer = new Closer()) {
 *   Connection connection = closer.register("connection", open());
 * }
 * }</pre>
 */
public final class Closer implements AutoCloseable {

  /**
   * Describes a resource whose close method threw an exception.
   *
   * @param resource the name under which the resource was registered
   * @param cause the exception that its close method threw
   */
  public record Failure(String resource, Exception cause) {}

  private record Entry(String name, AutoCloseable resource) {}

  private final Deque<Entry> entries = new ArrayDeque<>();

  /**
   * Registers a resource to be closed before those registered earlier.
   *
   * @param name the name that identifies the resource in a {@link Failure}
   * @param resource the resource
   * @param <T> the type of the resource
   * @return the given resource
   */
  public synchronized <T extends AutoCloseable> T register(String name, T resource) {
    entries.push(new Entry(name, resource));
    return resource;
  }

  /**
   * Closes all resources and continues when one of them fails.
   *
   * @return the failures, in closing order
   */
  public List<Failure> closeAll() {
    List<Failure> failures = new ArrayList<>();
    for (Entry entry = pollEntry(); entry != null; entry = pollEntry()) {
      try {
        entry.resource().close();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        failures.add(new Failure(entry.name(), e));
      } catch (Exception e) {
        failures.add(new Failure(entry.name(), e));
      }
    }
    return failures;
  }

  private synchronized Entry pollEntry() {
    return entries.poll();
  }

  @Override
  public void close() {
    closeAll();
  }
}
