package org.bergamotcross.entry.http;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.bergamotcross.entry.EntrySettings;
import org.bergamotcross.kernel.PluginStartException;
import org.bergamotcross.kernel.Setting;
import org.bergamotcross.kernel.SettingRule;

/** Opens listening sockets and checks their addresses. */
final class ListeningSockets {
  private static final int BIND_TIMEOUT_SECONDS = 5;

  private ListeningSockets() {}

  /**
   * Waits until a listening socket is bound.
   *
   * @param <B> the type of the binding
   * @param binding the pending binding
   * @param address the address, for the error message
   * @param setting the setting that holds the address, for the error message
   * @return the binding
   * @throws PluginStartException if the address can't be bound in time
   */
  static <B> B awaitBinding(CompletionStage<B> binding, InetSocketAddress address, String setting)
      throws PluginStartException {
    try {
      return binding.toCompletableFuture().get(BIND_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw failure(address, setting, e);
    } catch (ExecutionException | TimeoutException e) {
      throw failure(address, setting, e);
    }
  }

  /**
   * Returns rules that require an address to differ from other addresses.
   *
   * @param address the setting of the address
   * @param others the settings that must have a different value
   * @return one rule for each other setting
   */
  static List<SettingRule> distinctFrom(
      Setting<InetSocketAddress> address, List<Setting<InetSocketAddress>> others) {
    return others.stream()
        .flatMap(other -> EntrySettings.requireDistinctAddresses(List.of(other, address)).stream())
        .toList();
  }

  private static PluginStartException failure(
      InetSocketAddress address, String setting, Exception cause) {
    return new PluginStartException(
        "cannot listen on " + address + "; choose a free address in " + setting, cause);
  }
}
