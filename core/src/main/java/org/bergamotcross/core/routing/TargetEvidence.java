package org.bergamotcross.core.routing;

import java.time.Duration;
import java.util.Optional;
import org.bergamotcross.core.config.TargetId;

/**
 * What one instance has seen of one target.
 *
 * <p>All times are ages, so that they mean the same on the clock of the receiver.
 *
 * @param target the target
 * @param stallAge the time since the start of the first request that did not end within the stall
 *     threshold and that no success followed
 * @param successAge the time since the start of the latest request that succeeded
 * @param progressAge the time since a request last succeeded, however long it took
 * @param slowAge the time since the start of a request that has lasted for half of the stall
 *     threshold and that no success followed
 * @param failureAge the time since the start of the latest request that failed
 * @param failures the recent failures; each counts less as it gets older
 * @param outcomes the recent requests that succeeded or failed, counted in the same way
 * @param trialAge the time since the start of a trial that is still open
 * @param backoffLevel the number of ejections and failed trials that are not forgotten yet
 * @param draining whether the target said that it is draining
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
