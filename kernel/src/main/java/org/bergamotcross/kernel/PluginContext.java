package org.bergamotcross.kernel;

import com.codahale.metrics.MetricRegistry;
import java.util.Optional;
import java.util.function.Consumer;

/** Gives plug-ins access to the settings, rings, services and other resources of the process. */
public interface PluginContext {

  /**
   * Returns the settings of the process.
   *
   * @return the validated settings
   */
  Settings settings();

  /**
   * Opens the ring of a topic.
   *
   * @param topic the topic; exactly one plug-in opens it
   * @param capacity the maximum number of messages in the ring
   * @param <T> the type of the messages
   * @return the ring
   * @throws IllegalStateException if the ring of the topic is already open
   */
  <T> Ring<T> openRing(Topic<T> topic, int capacity);

  /**
   * Looks up the ring of a topic.
   *
   * @param topic the topic
   * @param <T> the type of the messages
   * @return the ring, or empty if no plug-in has opened it
   */
  <T> Optional<Ring<T>> ring(Topic<T> topic);

  /**
   * Subscribes to a broadcast.
   *
   * @param broadcast the broadcast
   * @param receiver is called on the publisher's thread and must do no more than offer the message
   *     to a ring
   * @param <T> the type of the messages
   */
  <T> void subscribe(Broadcast<T> broadcast, Consumer<T> receiver);

  /**
   * Publishes a message to all subscribers of a broadcast.
   *
   * @param broadcast the broadcast
   * @param message the message; it must be immutable
   * @param <T> the type of the message
   */
  <T> void publish(Broadcast<T> broadcast, T message);

  /**
   * Provides a service to other plug-ins.
   *
   * @param type the interface under which the service is looked up
   * @param service the service; it must be thread-safe
   * @param <T> the interface
   * @throws IllegalStateException if the interface already has a service
   */
  <T> void provide(Class<T> type, T service);

  /**
   * Looks up a service that a plug-in has provided.
   *
   * @param type the interface
   * @param <T> the interface
   * @return the service, or empty if no plug-in has provided it
   */
  <T> Optional<T> service(Class<T> type);

  /**
   * Starts a duty: a thread that handles the messages from the ring of a topic.
   *
   * @param topic the topic, whose ring this plug-in has opened
   * @param handler the handler, from now on used only by that thread
   * @param <T> the type of the messages
   * @throws IllegalStateException if the ring of the topic is not open
   */
  <T> void startDuty(Topic<T> topic, DutyHandler<T> handler);

  /**
   * Returns the event log of the process.
   *
   * @return the event log
   */
  EventLog events();

  /**
   * Returns the metric registry of the process.
   *
   * @return the registry
   */
  MetricRegistry metrics();

  /**
   * Returns the time source of the process.
   *
   * @return the time source
   */
  TimeSource time();

  /**
   * Returns the closer, which closes registered resources in reverse order when the process stops.
   *
   * @return the closer of the process
   */
  Closer closer();
}
