package org.bergamotcross.entry.http;

import org.apache.pekko.actor.ActorSystem;
import org.bergamotcross.kernel.PluginContext;

/** Looks up services that other plug-ins provide. */
final class PluginServices {
  private PluginServices() {}

  /**
   * Looks up the actor system of the process.
   *
   * @param context the context of the plug-in that needs it
   * @return the actor system
   */
  static ActorSystem actorSystem(PluginContext context) {
    return context
        .service(ActorSystem.class)
        .orElseThrow(() -> new IllegalStateException("no plug-in provides an actor system"));
  }
}
