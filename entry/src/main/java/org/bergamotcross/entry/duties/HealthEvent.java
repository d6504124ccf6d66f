package org.bergamotcross.entry.duties;

import java.util.Set;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.routing.PoolHealthReport;
import org.bergamotcross.entry.HealthMessage;

/** An event that the health plug-in passes from other duties and from peers to its duty. */
sealed interface HealthEvent extends HealthMessage.Internal {

  /** A new configuration is in force. */
  record ConfigurationChanged(Configuration configuration) implements HealthEvent {}

  /** The set of targets that the instance list marks as leaving changed. */
  record LeavingTargetsChanged(Set<TargetId> targets) implements HealthEvent {}

  /** A peer sent evidence about the targets of a pool. */
  record PeerReportReceived(PoolHealthReport report) implements HealthEvent {}
}
