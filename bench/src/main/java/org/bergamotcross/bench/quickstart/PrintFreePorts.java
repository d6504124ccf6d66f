package org.bergamotcross.bench.quickstart;

import org.bergamotcross.standin.FreePorts;

/** Prints free TCP ports of 127.0.0.1, one per line. */
public final class PrintFreePorts {
  private PrintFreePorts() {}

  /**
   * Prints the ports.
   *
   * @param arguments the number of ports
   */
  public static void main(String[] arguments) {
    for (int i = 0; i < Integer.parseInt(arguments[0]); i++) {
      System.out.println(FreePorts.next());
    }
  }
}
