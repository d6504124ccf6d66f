package org.bergamotcross.kernel;

/** Signals that a plug-in could not open a resource, for example a listening socket. */
public final class PluginStartException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message the resource, the failure and what was expected instead
   * @param cause the exception thrown when opening the resource
   */
  public PluginStartException(String message, Throwable cause) {
    super(message, cause);
  }
}
