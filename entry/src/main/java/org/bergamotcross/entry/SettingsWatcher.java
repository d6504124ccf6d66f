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
 * Reads the settings file again after a signal and when the file has changed.
 *
 * <p>A file with a problem changes nothing; the problems are logged. What a plug-in can't take over
 * while it runs takes effect at the next start.
 */
final class SettingsWatcher implements AutoCloseable {
  // A change without a signal is no emergency; a look at the file costs a system call.
  private static final Duration LOOK = Duration.ofSeconds(10);

  private record Reload() {}

  private final Path file;
  private final List<Plugin> plugins;
  private final PluginContext context;
  private final Ring<Reload> signals = new Ring<>("reload-signals", 8);
  private final Thread thread = new Thread(this::run, "settings-watch");
  private Optional<FileTime> seen;

  SettingsWatcher(Path file, List<Plugin> plugins, PluginContext context) {
    this.file = file;
    this.plugins = plugins;
    this.context = context;
    this.seen = modified();
    thread.setDaemon(true);
    thread.start();
  }

  /** Reads the file as soon as possible. */
  void signal() {
    signals.offerReserved(new Reload());
  }

  private void run() {
    try {
      while (!Thread.currentThread().isInterrupted()) {
        boolean asked = signals.poll(LOOK).isPresent();
        Optional<FileTime> present = modified();
        if (asked || !present.equals(seen)) {
          seen = present;
          reload(asked ? "signal" : "file-changed");
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

  private Optional<FileTime> modified() {
    try {
      return Optional.of(Files.getLastModifiedTime(file));
    } catch (IOException e) {
      // A file that is being replaced is there again at the next look.
      return Optional.empty();
    }
  }

  @Override
  public void close() {
    thread.interrupt();
  }
}
