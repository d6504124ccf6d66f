package org.bergamotcross.entry;

import java.lang.reflect.Proxy;
import java.util.List;

/** Registers handlers for SIGTERM, SIGINT and SIGHUP. */
final class Signals {
  private Signals() {}

  /**
   * Registers an action that runs on each SIGTERM and SIGINT.
   *
   * <p>A JVM shutdown hook would see only the first signal, and the process would exit with code
   * 143. {@code sun.misc.Signal} is part of the supported module {@code jdk.unsupported}; it is
   * called by reflection because its use causes a compiler warning that can't be suppressed.
   *
   * @param action called on a thread of the JVM; it must return at once
   * @throws IllegalStateException if the JVM has no such module
   */
  static void onStop(Runnable action) {
    register(List.of("TERM", "INT"), action);
  }

  /**
   * Registers an action that runs on each SIGHUP, which would otherwise end the process.
   *
   * @param action called on a thread of the JVM; it must return at once
   * @throws IllegalStateException if the JVM has no such module
   */
  static void onReload(Runnable action) {
    register(List.of("HUP"), action);
  }

  private static void register(List<String> names, Runnable action) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object proxy =
          Proxy.newProxyInstance(
              Signals.class.getClassLoader(),
              new Class<?>[] {handler},
              (self, method, arguments) -> {
                action.run();
                return null;
              });
      for (String name : names) {
        signal
            .getMethod("handle", signal, handler)
            .invoke(null, signal.getConstructor(String.class).newInstance(name), proxy);
      }
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("the JVM lacks the module jdk.unsupported", e);
    }
  }
}
