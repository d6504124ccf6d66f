package org.bergamotcross.kernel;

import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.StreamHandler;

/** Sets up the log of a daemon: one line for each event on standard output. */
public final class Logging {
  private static final int BUFFER_BYTES = 16_384;

  private Logging() {}

  /** Replaces the handlers of the root logger by one that writes the bare line. */
  public static void configure() {
    Logger root = Logger.getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    Handler output =
        new StreamHandler(
            new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), BUFFER_BYTES),
            new LineFormatter());
    output.setLevel(Level.INFO);
    root.addHandler(output);
  }

  /** Writes out the lines that are buffered; the event log calls it when no line waits. */
  static void flush() {
    for (Handler handler : Logger.getLogger("").getHandlers()) {
      handler.flush();
    }
  }

  private static final class LineFormatter extends Formatter {
    @Override
    public String format(LogRecord logRecord) {
      return formatMessage(logRecord) + System.lineSeparator();
    }
  }
}
