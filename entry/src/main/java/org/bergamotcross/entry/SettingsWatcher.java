package org.bergamotcross.entry;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.bergamotcross.kernel.Kernel;
import org.bergamotcross.kernel.Plugin;
import org.bergamotcross.kernel.PluginContext;
import org.bergamotcross.kernel.Ring;
import org.bergamotcross.kernel.Settings;
import org.bergamotcross.kernel.SettingsResult;

/**
 * Reloads the settings file on request and when the file has changed.
 *
 * <p>A file with problems is not applied; the problems are logged. Settings that a plug-in can't
 * change at run time take effect at the next start.
 */
final class SettingsWatcher implements AutoCloseable {
  // Changes without a signal aren't urgent, and each check costs a system call.
  private static final Duration POLL_INTERVAL = Duration.ofSeconds(10);

  private record ReloadSignal() {}

  private final Path file;
  private final List<Plugin> plugins;
  private final PluginContext context;
  private final Ring<ReloadSignal> signals = new Ring<>("reload-signals", 8);
  private final Thread thread = new Thread(this::run, "settings-watch");
  private Optional<FileTime> lastModified;

  SettingsWatcher(Path file, List<Plugin> plugins, PluginContext context) {
    this.file = file;
    this.plugins = plugins;
    this.context = context;
    this.lastModified = readLastModified();
    thread.setDaemon(true);
    thread.start();
  }

  /** Requests a reload as soon as possible; returns at once. */
  void requestReload() {
    signals.offerReserved(new ReloadSignal());
  }

  private void run() {
    try {
      while (!Thread.currentThread().isInterrupted()) {
        boolean requested = signals.poll(POLL_INTERVAL).isPresent();
        Optional<FileTime> present = readLastModified();
        if (requested || !present.equals(lastModified)) {
          lastModified = present;
          reload(requested ? "signal" : "file-changed");
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void reload(String reason) {
    SettingsResult result =
        Settings.read(file, Kernel.settingsOf(plugins), Kernel.rulesOf(plugins));
    switch (result) {
      case SettingsResult.Loaded loaded -> {
        context.events().event("settings.reloaded").with("reason", reason).emit();
        context.publish(Broadcasts.SETTINGS, loaded.settings());
      }
      case SettingsResult.Rejected rejected ->
          rejected
              .problems()
              .forEach(
                  problem ->
                      context
                          .events()
                          .event("settings.rejected")
                          .with("reason", reason)
                          .with("problem", problem)
                          .emit());
    }
  }

  private Optional<FileTime> readLastModified() {
    try {
      return Optional.of(Files.getLastModifiedTime(file));
    } catch (IOException e) {
      // A file that is being replaced is there again at the next check.
      return Optional.empty();
    }
  }

  @Override
  public void close() {
    thread.interrupt();
  }
}
