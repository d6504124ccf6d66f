package org.bergamotcross.entry;

import org.bergamotcross.kernel.Topic;

/** The rings that several plug-ins of an entry instance use. */
public final class Topics {
  /** Requests for admission, from the front end. */
  public static final Topic<AdmissionMessage> ADMISSION = new Topic<>("admission");

  /** Admitted requests, from admission, and the events of attempts, from the target client. */
  public static final Topic<RoutingMessage> ROUTING = new Topic<>("routing");

  /** Evidence about targets, from routing. */
  public static final Topic<HealthMessage> HEALTH = new Topic<>("health");

  private Topics() {}
}
