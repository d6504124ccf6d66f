package org.bergamotcross.entry.http;

import java.time.Duration;
import java.util.List;
import org.apache.pekko.actor.ActorSystem;
import org.bergamotcross.entry.TargetSender;
import org.bergamotcross.kernel.Plugin;
import org.bergamotcross.kernel.PluginContext;
import org.bergamotcross.kernel.Setting;

/** Provides the client that sends requests to targets. */
public final class TargetClientPlugin implements Plugin {
  private static final Duration PRUNE_INTERVAL = Duration.ofSeconds(2);

  @Override
  public String name() {
    return "target-client";
  }

  @Override
  public List<Setting<?>> settings() {
    return PathOptions.settings();
  }

  @Override
  public void configure(PluginContext context) {
    ActorSystem system = Services.actorSystem(context);
    TargetClient client =
        new TargetClient(system, PathOptions.of(context.settings()), context.time());
    context.provide(TargetSender.class, client);
    system
        .scheduler()
        .scheduleWithFixedDelay(PRUNE_INTERVAL, PRUNE_INTERVAL, client::prune, system.dispatcher());
  }

  @Override
  public void start(PluginContext context) {}
}
