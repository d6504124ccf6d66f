package org.bergamotcross.entry.http;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.bergamotcross.entry.Broadcasts;
import org.bergamotcross.entry.EntrySettings;
import org.bergamotcross.entry.OpenRequests;
import org.bergamotcross.kernel.Plugin;
import org.bergamotcross.kernel.PluginContext;
import org.bergamotcross.kernel.PluginStartException;
import org.bergamotcross.kernel.Setting;
import org.bergamotcross.kernel.SettingRule;

/**
 * Registers the front end, which serves callers over HTTP and passes their requests to admission.
 */
public final class FrontEndPlugin implements Plugin {
  @Override
  public String name() {
    return "front-end";
  }

  @Override
  public List<Setting<?>> settings() {
    List<Setting<?>> all = new ArrayList<>(HttpOptions.settings());
    all.addAll(CallerLimits.settings());
    all.addAll(
        List.of(
            EntrySettings.CALLER_ADDRESS,
            EntrySettings.OPERATIONS_ADDRESS,
            EntrySettings.PEER_ADDRESS,
            EntrySettings.PLATFORM_ADDRESS,
            EntrySettings.MAX_BODY_BYTES,
            EntrySettings.STOP_ACCEPT_MS,
            EntrySettings.STOP_LIMIT_MS,
            EntrySettings.STOP_GRACE));
    return all;
  }

  @Override
  public List<SettingRule> rules() {
    return ListeningSockets.distinctFrom(
        EntrySettings.CALLER_ADDRESS,
        List.of(EntrySettings.PEER_ADDRESS, EntrySettings.PLATFORM_ADDRESS));
  }

  @Override
  public void configure(PluginContext context) {
    FrontEnd frontEnd = new FrontEnd(context);
    context.provide(FrontEnd.class, frontEnd);
    context.provide(OpenRequests.class, frontEnd);
    context.subscribe(Broadcasts.SHUTDOWN, frontEnd::onStopping);
  }

  @Override
  public void start(PluginContext context) throws PluginStartException {
    InetSocketAddress address = context.settings().value(EntrySettings.CALLER_ADDRESS);
    FrontEnd frontEnd =
        context
            .service(FrontEnd.class)
            .orElseThrow(() -> new IllegalStateException("the front end is not configured"));
    HttpWarmUp.run(
        PluginServices.actorSystem(context),
        context.settings().value(EntrySettings.OPERATIONS_ADDRESS));
    frontEnd.listen(address, context, PluginServices.actorSystem(context));
  }
}
