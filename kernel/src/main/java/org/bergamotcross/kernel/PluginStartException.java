package org.bergamotcross.kernel;

/** Tells that a plug-in could not open a resource, for example a listening address. */
public final class PluginStartException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message the resource, what went wrong and what would be right
   * @param cause the cause
   */
  public PluginStartException(String message, Throwable cause) {
    super(message, cause);
  }
}
