package org.bergamotcross.standin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Parses the parameters of {@code POST /control} of the platform stand-in. */
final class PlatformControl {
  private static final Duration DEFAULT_DELAY = Duration.ofSeconds(1);

  private PlatformControl() {}

  static ControlResult<PlatformChange> parse(Parameters parameters) {
    List<PlatformChange> changes = new ArrayList<>();
    parseFault(parameters)
        .ifPresent(f -> changes.add(new PlatformChange.SetFault(f, parseScope(parameters))));
    parameters
        .number("retention")
        .ifPresent(n -> changes.add(new PlatformChange.SetRetention((int) Math.min(n, 1 << 30))));
    parameters
        .millis("listLagMs")
        .ifPresent(lag -> changes.add(new PlatformChange.SetListLag(lag)));
    parseInstance(parameters).ifPresent(i -> changes.add(new PlatformChange.Register(i)));
    parameters.text("remove").ifPresent(id -> changes.add(new PlatformChange.Remove(id)));
    List<String> problems = parameters.problems();
    return problems.isEmpty()
        ? new ControlResult.Accepted<>(changes)
        : new ControlResult.Rejected<>(problems);
  }

  private static Optional<PlatformFault> parseFault(Parameters parameters) {
    boolean close = parameters.flag("close").orElse(false);
    Duration delay = parameters.millis("delayMs").orElse(DEFAULT_DELAY);
    return parameters
        .text("fault")
        .flatMap(
            name ->
                switch (name) {
                  case "none" -> Optional.of(new PlatformFault.None());
                  case "outage" -> Optional.of(new PlatformFault.Outage(close));
                  case "slow" -> Optional.of(new PlatformFault.Latency(delay));
                  case "lose-answer" -> Optional.of(new PlatformFault.LostResponse());
                  case "old-page" -> Optional.of(new PlatformFault.StalePage());
                  default -> {
                    parameters.addProblem("fault", "outage, slow, lose-answer, old-page or none");
                    yield Optional.empty();
                  }
                });
  }

  private static FaultScope parseScope(Parameters parameters) {
    Set<String> instances =
        parameters.text("instances").stream()
            .flatMap(text -> Stream.of(text.split(",", -1)))
            .map(String::strip)
            .filter(text -> !text.isEmpty())
            .collect(Collectors.toSet());
    FaultScope.Operation direction =
        switch (parameters.text("only").orElse("both")) {
          case "reads" -> FaultScope.Operation.READS;
          case "appends" -> FaultScope.Operation.APPENDS;
          case "both" -> FaultScope.Operation.BOTH;
          default -> {
            parameters.addProblem("only", "reads, appends or both");
            yield FaultScope.Operation.BOTH;
          }
        };
    return new FaultScope(direction, instances);
  }

  private static Optional<InstanceListEntry> parseInstance(Parameters parameters) {
    String kind = parameters.text("kind").orElse("entry");
    String state = parameters.text("state").orElse("live");
    String address = parameters.text("address").orElse("");
    String failureDomain = parameters.text("failureDomain").orElse("");
    return parameters
        .text("register")
        .map(id -> new InstanceListEntry(id, kind, state, address, failureDomain));
  }
}
