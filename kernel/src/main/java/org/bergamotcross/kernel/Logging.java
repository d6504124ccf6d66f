package org.bergamotcross.kernel;

import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Sets up the log of a daemon: one line for each event on standard error. */
public final class Logging {
  private Logging() {}

  /** Replaces the handlers of the root logger by one that writes the bare line. */
  public static void configure() {
    Logger root = Logger.getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    ConsoleHandler console = new ConsoleHandler();
    console.setLevel(Level.INFO);
    console.setFormatter(new LineFormatter());
    root.addHandler(console);
  }

  private static final class LineFormatter extends Formatter {
    @Override
    public String format(LogRecord logRecord) {
      return formatMessage(logRecord) + System.lineSeparator();
    }
  }
}
