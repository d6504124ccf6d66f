package org.bergamotcross.entry.duties;

import java.util.Set;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.routing.PoolHealthReport;
import org.bergamotcross.entry.HealthMessage;

/** The messages that only the health plug-in sends to its duty. */
sealed interface HealthEvent extends HealthMessage.Internal {

  /** Another configuration is in force. */
  record Configured(Configuration configuration) implements HealthEvent {}

  /** The list shows these targets as leaving. */
  record Leaving(Set<TargetId> targets) implements HealthEvent {}

  /** A peer reported about a pool. */
  record Reported(PoolHealthReport report) implements HealthEvent {}
}
