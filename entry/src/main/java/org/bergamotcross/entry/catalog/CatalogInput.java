package org.bergamotcross.entry.catalog;

import org.bergamotcross.core.membership.FleetView;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.PeerView;
import org.bergamotcross.entry.CatalogSource;

/** The messages of the catalog duty. */
sealed interface CatalogInput {

  /** A read of the settings has ended. */
  record SettingsRead(CatalogSource.SettingsReadResult result) implements CatalogInput {}

  /** A read of the list of targets has ended. */
  record TargetsRead(CatalogSource.TargetsReadResult result) implements CatalogInput {}

  /** A read of the directory of instances has ended. */
  record DirectoryRead(CatalogSource.DirectoryReadResult result) implements CatalogInput {}

  /** This instance was entered in the directory, or may have been. */
  record Entered(CatalogSource.DirectoryUpdateResult result) implements CatalogInput {}

  /** An instance was removed from the directory, or may have been. */
  record Removed(InstanceId instance, CatalogSource.DirectoryUpdateResult result)
      implements CatalogInput {}

  /** Limits of the fleet are divided in another way than before. */
  record FleetChanged(FleetView view) implements CatalogInput {}

  /** Other peers are heard than before. */
  record PeersChanged(PeerView view) implements CatalogInput {}

  /** A peer tells of a read. */
  record News(InstanceId from, CatalogMessages.News message) implements CatalogInput {}

  /** A peer asks for what it lacks. */
  record Ask(InstanceId from, CatalogMessages.Ask message) implements CatalogInput {}

  /** A peer sends what this instance asked for. */
  record State(InstanceId from, CatalogMessages.State message) implements CatalogInput {}
}
