package org.bergamotcross.kernel;

import com.codahale.metrics.MetricRegistry;
import java.util.Optional;
import java.util.function.Consumer;

/** What the kernel offers to a plug-in. */
public interface PluginContext {

  /**
   * Returns the checked settings.
   *
   * @return the settings of the process
   */
  Settings settings();

  /**
   * Opens the ring of a topic.
   *
   * @param topic the topic; each one is opened by one plug-in
   * @param capacity the number of messages the ring holds
   * @param <T> the type of the messages
   * @return the ring
   * @throws IllegalStateException if another plug-in has opened the topic
   */
  <T> Ring<T> openRing(Topic<T> topic, int capacity);

  /**
   * Finds the ring of a topic.
   *
   * @param topic the topic
   * @param <T> the type of the messages
   * @return the ring, or nothing when no plug-in has opened it
   */
  <T> Optional<Ring<T>> ring(Topic<T> topic);

  /**
   * Receives a broadcast.
   *
   * @param broadcast the kind of message
   * @param receiver called on the publisher's thread; it only offers the message to a ring
   * @param <T> the type of the messages
   */
  <T> void subscribe(Broadcast<T> broadcast, Consumer<T> receiver);

  /**
   * Sends a message to all receivers of a broadcast.
   *
   * @param broadcast the kind of message
   * @param message the message, immutable
   * @param <T> the type of the message
   */
  <T> void publish(Broadcast<T> broadcast, T message);

  /**
   * Provides an object to other plug-ins under its interface.
   *
   * @param type the interface
   * @param service the object; safe for use from any thread
   * @param <T> the interface
   * @throws IllegalStateException if another plug-in has provided the interface
   */
  <T> void provide(Class<T> type, T service);

  /**
   * Finds an object that another plug-in has provided.
   *
   * @param type the interface
   * @param <T> the interface
   * @return the object, or nothing when no plug-in has provided it
   */
  <T> Optional<T> service(Class<T> type);

  /**
   * Starts the thread of a duty over the ring of a topic.
   *
   * @param topic the topic, opened by this plug-in
   * @param handler the handler, from now on used by that thread alone
   * @param <T> the type of the messages
   * @throws IllegalStateException if the topic is not open
   */
  <T> void startDuty(Topic<T> topic, DutyHandler<T> handler);

  /**
   * Returns the event log.
   *
   * @return the log of the process
   */
  EventLog events();

  /**
   * Returns the metrics.
   *
   * @return the registry of the process
   */
  MetricRegistry metrics();

  /**
   * Returns the time source.
   *
   * @return the clock of the process
   */
  TimeSource time();

  /**
   * Returns the closer.
   *
   * @return the closer that ends the resources of the process in reverse order
   */
  Closer closer();
}
