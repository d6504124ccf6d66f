package org.bergamotcross.core.routing;

import java.time.Duration;
import java.util.Optional;
import org.bergamotcross.core.config.TargetId;

/**
 * The health evidence on one target from one instance.
 *
 * <p>All times are ages, so that they do not depend on the clock of the sender.
 *
 * @param target the target
 * @param stallAge the time since the start of the first request that did not end within the stall
 *     threshold and was not followed by a success
 * @param successAge the time since the start of the latest request that succeeded in time
 * @param progressAge the time since the end of the latest request that succeeded, however long it
 *     took
 * @param slowAge the time since the start of a request that has lasted for at least half of the
 *     stall threshold and was not followed by a success
 * @param failureAge the time since the start of the latest request that failed
 * @param failures the number of recent failures, with exponential decay
 * @param outcomes the number of recent requests that succeeded or failed, with the same decay
 * @param trialAge the time since the start of a trial request that is still in flight
 * @param backoffLevel the number of ejections and failed trials since the backoff was last reset
 * @param draining whether the target announced that it is draining
 */
public record TargetEvidence(
    TargetId target,
    Optional<Duration> stallAge,
    Optional<Duration> successAge,
    Optional<Duration> progressAge,
    Optional<Duration> slowAge,
    Optional<Duration> failureAge,
    double failures,
    double outcomes,
    Optional<Duration> trialAge,
    int backoffLevel,
    boolean draining) {}
