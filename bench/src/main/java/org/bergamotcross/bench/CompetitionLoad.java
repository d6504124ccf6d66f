package org.bergamotcross.bench;

import java.util.List;
import java.util.Optional;

/**
 * Organisations and kinds of requests that compete for the slots of one pool.
 *
 * <p>The rate of an organisation falls with its number. During the wave, each kind is multiplied by
 * its surge factor, and the largest organisation by {@code hotFactor}.
 *
 * @param name the name in reports
 * @param instances the number of instances
 * @param targets the number of targets
 * @param slots the requests that a target runs at once
 * @param queueLimit the requests that a target queues; it rejects others
 * @param organisations the number of organisations
 * @param kinds the kinds of requests
 * @param failingShare the share of the time in which a target fails most of its requests
 * @param slowShare the share of the targets that are slow during the wave
 * @param hotFactor the factor of the rate of the largest organisation during the wave
 */
record CompetitionLoad(
    String name,
    int instances,
    int targets,
    int slots,
    int queueLimit,
    int organisations,
    List<RequestKind> kinds,
    double failingShare,
    double slowShare,
    double hotFactor) {
  /** The wave and the length of a run, in seconds. */
  static final int WAVE_START_SECONDS = 8;

  static final int WAVE_END_SECONDS = 16;
  static final int DURATION_SECONDS = 26;

  private static final RequestKind BROWSE =
      new RequestKind("browse", 1, true, 68, 304, 1_217, 2_005, 1, 0.31, 1);
  private static final RequestKind CHECKOUT =
      new RequestKind("checkout", 1, false, 244, 239, 1_207, 3_018, 2.1, 0.62, 1);
  private static final RequestKind HISTORY =
      new RequestKind("history", 2, true, 96, 575, 3_004, 4_005, 0.52, 0.23, 2.3);
  private static final RequestKind HOLD =
      new RequestKind("hold", 0, false, 25, 194, 820, 2_019, 2, 0.24, 1.8);
  private static final RequestKind STRAY_HOLD =
      new RequestKind("hold", 0, false, 8, 194, 820, 2_019, 2, 0.24, 1.8);

  /** The loads of the report. */
  static final List<CompetitionLoad> ALL =
      List.of(
          new CompetitionLoad("small", 17, 8, 4, 16, 9, scaled(0.16, CHECKOUT, HOLD), 0.3, 0, 5),
          new CompetitionLoad(
              "checkouts", 44, 60, 3, 18, 79, List.of(CHECKOUT, STRAY_HOLD), 0.3, 0.1, 5),
          new CompetitionLoad(
              "histories", 44, 59, 3, 18, 79, List.of(HISTORY, STRAY_HOLD), 0.3, 0.1, 5),
          new CompetitionLoad("holds", 44, 5, 3, 18, 79, List.of(HOLD), 0.3, 0.2, 5),
          new CompetitionLoad(
              "browsing", 44, 22, 3, 18, 79, List.of(BROWSE, STRAY_HOLD), 0.3, 0.1, 5),
          new CompetitionLoad(
              "large", 138, 38, 6, 18, 71, scaled(1.2, CHECKOUT, HISTORY, HOLD), 0.3, 0.1, 5));

  private static List<RequestKind> scaled(double factor, RequestKind... kinds) {
    return List.of(kinds).stream()
        .map(
            kind ->
                new RequestKind(
                    kind.name(),
                    kind.priority(),
                    kind.idempotent(),
                    kind.perSecond() * factor,
                    kind.serviceMillis(),
                    kind.objectiveMillis(),
                    kind.timeoutMillis(),
                    kind.worth(),
                    kind.lateWorth(),
                    kind.surgeFactor()))
        .toList();
  }

  static Optional<CompetitionLoad> find(String name) {
    return ALL.stream().filter(load -> load.name().equals(name)).findFirst();
  }

  /** Returns the rate of an organisation and a kind at a time, in requests per second. */
  double rate(int organisation, RequestKind kind, long micros) {
    double total = 0;
    for (int i = 0; i < organisations; i++) {
      total += sizeOf(i);
    }
    double usual = kind.perSecond() * sizeOf(organisation) / total;
    if (!isWave(micros)) {
      return usual;
    }
    return usual * kind.surgeFactor() * (organisation == 0 ? hotFactor : 1);
  }

  static boolean isWave(long micros) {
    return micros >= WAVE_START_SECONDS * 1_000_000L && micros < WAVE_END_SECONDS * 1_000_000L;
  }

  private static double sizeOf(int organisation) {
    return 1 / Math.pow(organisation + 1.0, 0.8);
  }
}
