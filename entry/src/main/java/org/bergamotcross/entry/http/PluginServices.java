package org.bergamotcross.entry.http;

import org.apache.pekko.actor.ActorSystem;
import org.bergamotcross.kernel.PluginContext;

/** Finds what other plug-ins provide. */
final class PluginServices {
  private PluginServices() {}

  /**
   * Finds the actor system.
   *
   * @param context the context of a plug-in that is being started
   * @return the system of the process
   */
  static ActorSystem actorSystem(PluginContext context) {
    return context
        .service(ActorSystem.class)
        .orElseThrow(() -> new IllegalStateException("no plug-in provides an actor system"));
  }
}
