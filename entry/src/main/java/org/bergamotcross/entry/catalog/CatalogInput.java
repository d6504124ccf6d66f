package org.bergamotcross.entry.catalog;

import org.bergamotcross.core.membership.FleetView;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.PeerView;
import org.bergamotcross.entry.CatalogSource;

/** Defines the messages that the catalog duty receives on its ring. */
sealed interface CatalogInput {

  /** A read of the settings completed or failed. */
  record SettingsReadCompleted(CatalogSource.SettingsReadResult result) implements CatalogInput {}

  /** A read of the list of targets completed or failed. */
  record TargetsReadCompleted(CatalogSource.TargetsReadResult result) implements CatalogInput {}

  /** A read of the directory of instances completed or failed. */
  record DirectoryReadCompleted(CatalogSource.DirectoryReadResult result) implements CatalogInput {}

  /** An attempt to register this instance in the directory ended, possibly without confirmation. */
  record RegistrationCompleted(CatalogSource.DirectoryUpdateResult result)
      implements CatalogInput {}

  /** An attempt to remove an instance from the directory ended, possibly without confirmation. */
  record RemovalCompleted(InstanceId instance, CatalogSource.DirectoryUpdateResult result)
      implements CatalogInput {}

  /** The division of the fleet's limits changed. */
  record FleetChanged(FleetView view) implements CatalogInput {}

  /** The set of reachable peers changed. */
  record PeersChanged(PeerView view) implements CatalogInput {}

  /** A peer broadcast the result of a read. */
  record UpdateReceived(InstanceId from, CatalogMessages.Update message) implements CatalogInput {}

  /** A peer has read the settings, or has waited in vain for new ones. */
  record SettingsReadReceived(InstanceId from, InstanceId via, CatalogMessages.SettingsRead message)
      implements CatalogInput {}

  /** A peer reported that its reads of the store have begun to fail. */
  record StoreUnavailableReceived() implements CatalogInput {}

  /** A peer requested the state that it is missing. */
  record SyncRequestReceived(InstanceId from, CatalogMessages.SyncRequest message)
      implements CatalogInput {}

  /** A peer sent the state that this instance requested. */
  record SyncResponseReceived(InstanceId from, CatalogMessages.SyncResponse message)
      implements CatalogInput {}
}
