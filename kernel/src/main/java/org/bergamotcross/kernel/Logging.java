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

/** Configures {@code java.util.logging} to write one line per event to standard output. */
public final class Logging {
  private static final int BUFFER_BYTES = 16_384;

  private Logging() {}

  /** Replaces the root logger's handlers with one that writes messages without any prefix. */
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

  /** Flushes buffered lines; the event log calls this when its ring is empty. */
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
