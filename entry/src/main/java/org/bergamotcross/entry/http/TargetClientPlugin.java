package org.bergamotcross.entry.http;

import java.time.Duration;
import java.util.List;
import org.apache.pekko.actor.ActorSystem;
import org.bergamotcross.entry.TargetSender;
import org.bergamotcross.kernel.Plugin;
import org.bergamotcross.kernel.PluginContext;
import org.bergamotcross.kernel.Setting;

/** Registers the HTTP client that sends requests to targets. */
public final class TargetClientPlugin implements Plugin {
  private static final Duration IDLE_CHECK_INTERVAL = Duration.ofSeconds(2);

  @Override
  public String name() {
    return "target-client";
  }

  @Override
  public List<Setting<?>> settings() {
    return HttpOptions.settings();
  }

  @Override
  public void configure(PluginContext context) {
    ActorSystem system = PluginServices.actorSystem(context);
    TargetClient client =
        new TargetClient(
            system, HttpOptions.of(context.settings()), context.events(), context.time());
    context.provide(TargetSender.class, client);
    system
        .scheduler()
        .scheduleWithFixedDelay(
            IDLE_CHECK_INTERVAL, IDLE_CHECK_INTERVAL, client::closeExpired, system.dispatcher());
  }

  @Override
  public void start(PluginContext context) {}
}
