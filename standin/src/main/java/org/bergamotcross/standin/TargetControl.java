package org.bergamotcross.standin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Parses the parameters of {@code POST /control} of a target stand-in. */
final class TargetControl {
  private static final Duration DEFAULT_DELAY = Duration.ofSeconds(1);
  private static final long DEFAULT_COLD_FACTOR = 4;

  private TargetControl() {}

  static ControlResult<TargetChange> parse(Parameters parameters) {
    List<TargetChange> changes = new ArrayList<>();
    Optional<Duration> duration = parameters.millis("forMs");
    parseFault(parameters)
        .ifPresent(
            fault -> {
              if (fault instanceof TargetFault.ConnectionRefused && duration.isEmpty()) {
                parameters.addProblem(
                    "forMs",
                    "a duration, because no request can reach the target to end the fault");
              }
              changes.add(new TargetChange.SetFault(fault, duration));
            });
    parameters.flag("drain").ifPresent(d -> changes.add(new TargetChange.SetDraining(d)));
    parameters.millis("workMs").ifPresent(t -> changes.add(new TargetChange.SetWorkTime(t)));
    parameters
        .number("slots")
        .ifPresent(n -> changes.add(new TargetChange.SetSlots((int) Math.min(n, 1 << 20))));
    long factor = parameters.number("coldFactor").orElse(DEFAULT_COLD_FACTOR);
    parameters
        .millis("coldMs")
        .ifPresent(t -> changes.add(new TargetChange.StartColdPhase(t, factor)));
    parseHealth(parameters).ifPresent(changes::add);
    parseLoad(parameters).ifPresent(changes::add);
    List<String> problems = parameters.problems();
    return problems.isEmpty()
        ? new ControlResult.Accepted<>(changes)
        : new ControlResult.Rejected<>(problems);
  }

  private static Optional<TargetFault> parseFault(Parameters parameters) {
    Duration delay = parameters.millis("delayMs").orElse(DEFAULT_DELAY);
    return parameters
        .text("fault")
        .flatMap(
            name ->
                switch (name) {
                  case "none" -> Optional.of(new TargetFault.None());
                  case "stall" -> Optional.of(new TargetFault.Stall());
                  case "slow" -> Optional.of(new TargetFault.SlowWork(delay));
                  case "errors" -> Optional.of(new TargetFault.ErrorResponse());
                  case "cut-body" -> Optional.of(new TargetFault.TruncatedBody());
                  case "late-answer" -> Optional.of(new TargetFault.DelayedResponse(delay));
                  case "effect-without-answer" -> Optional.of(new TargetFault.LostResponse());
                  case "connection-refused" -> Optional.of(new TargetFault.ConnectionRefused());
                  default -> {
                    parameters.addProblem(
                        "fault",
                        "stall, slow, errors, cut-body, late-answer, effect-without-answer,"
                            + " connection-refused or none");
                    yield Optional.empty();
                  }
                });
  }

  private static Optional<TargetChange> parseHealth(Parameters parameters) {
    return parameters
        .text("health")
        .flatMap(
            text ->
                switch (text) {
                  case "pass" -> Optional.of(new TargetChange.OverrideHealth(Optional.of(true)));
                  case "fail" -> Optional.of(new TargetChange.OverrideHealth(Optional.of(false)));
                  case "default" -> Optional.of(new TargetChange.OverrideHealth(Optional.empty()));
                  default -> {
                    parameters.addProblem("health", "pass, fail or default");
                    yield Optional.empty();
                  }
                });
  }

  private static Optional<TargetChange> parseLoad(Parameters parameters) {
    if (parameters.text("load").filter("default"::equals).isPresent()) {
      return Optional.of(new TargetChange.OverrideLoad(Optional.empty()));
    }
    return parameters.number("load").map(n -> new TargetChange.OverrideLoad(Optional.of(n)));
  }
}
