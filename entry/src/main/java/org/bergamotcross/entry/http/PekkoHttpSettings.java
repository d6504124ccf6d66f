package org.bergamotcross.entry.http;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.http.javadsl.settings.ServerSettings;

/** Loads Pekko's settings for HTTP connections from {@code bergamotcross-http.conf}. */
final class PekkoHttpSettings {
  private PekkoHttpSettings() {}

  /**
   * Returns the settings for connections from callers.
   *
   * @param system the actor system, whose configuration supplies the defaults
   * @param maxBodyBytes the largest request body, in bytes
   * @return the settings
   */
  static ServerSettings server(ActorSystem system, long maxBodyBytes) {
    ServerSettings settings = ServerSettings.create(config(system));
    return settings.withParserSettings(
        settings.getParserSettings().withMaxContentLength(maxBodyBytes));
  }

  /**
   * Returns the settings for connections to targets.
   *
   * @param system the actor system, whose configuration supplies the defaults
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
