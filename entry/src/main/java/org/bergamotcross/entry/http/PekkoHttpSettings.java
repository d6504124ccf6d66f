package org.bergamotcross.entry.http;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.http.javadsl.settings.ServerSettings;

/** Reads the settings of HTTP connections from {@code bergamotcross-http.conf}. */
final class PekkoHttpSettings {
  private PekkoHttpSettings() {}

  /**
   * Returns the settings of connections from callers.
   *
   * @param system gives Pekko's defaults
   * @param maxBodyBytes the largest body of a request, in bytes
   * @return the settings
   */
  static ServerSettings server(ActorSystem system, long maxBodyBytes) {
    ServerSettings settings = ServerSettings.create(config(system));
    return settings.withParserSettings(
        settings.getParserSettings().withMaxContentLength(maxBodyBytes));
  }

  /**
   * Returns the settings of connections to targets.
   *
   * @param system gives Pekko's defaults
   * @return the settings
   */
  static ClientConnectionSettings client(ActorSystem system) {
    return ClientConnectionSettings.create(config(system));
  }

  private static Config config(ActorSystem system) {
    return ConfigFactory.parseResources(
            PekkoHttpSettings.class.getClassLoader(), "bergamotcross-http.conf")
        .withFallback(system.settings().config())
        .resolve();
  }
}
