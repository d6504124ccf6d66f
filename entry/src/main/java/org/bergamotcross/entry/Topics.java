package org.bergamotcross.entry;

import org.bergamotcross.kernel.Topic;

/** Declares the topics whose rings several plug-ins of an entry instance use. */
public final class Topics {
  /** Requests to admit, from the front end. */
  public static final Topic<AdmissionMessage> ADMISSION = new Topic<>("admission");

  /** Admitted requests from admission, and attempt events from the target client. */
  public static final Topic<RoutingMessage> ROUTING = new Topic<>("routing");

  /** Starts and results of attempts, from routing. */
  public static final Topic<HealthMessage> HEALTH = new Topic<>("health");

  private Topics() {}
}
