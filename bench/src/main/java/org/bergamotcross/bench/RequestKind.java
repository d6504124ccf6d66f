package org.bergamotcross.bench;

/**
 * A kind of request in a {@link CompetitionLoad}.
 *
 * @param name its name in reports
 * @param priority its priority; 0 is served first
 * @param idempotent whether it may be repeated
 * @param perSecond its usual rate over all organisations
 * @param serviceMillis its mean service time at a target
 * @param objectiveMillis the latency objective, from the first attempt of the caller
 * @param timeoutMillis the time after which the caller gives up
 * @param worth the worth of a response within the objective
 * @param lateWorth the worth of a later response
 * @param surgeFactor the factor of its rate during the wave of the load
 */
record RequestKind(
    String name,
    int priority,
    boolean idempotent,
    double perSecond,
    double serviceMillis,
    int objectiveMillis,
    int timeoutMillis,
    double worth,
    double lateWorth,
    double surgeFactor) {}
