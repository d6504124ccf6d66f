package org.bergamotcross.core.admission;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import org.bergamotcross.core.config.Organisation;
import org.bergamotcross.core.config.TeamSettings;

/** Generates schedules of faults in a simulated fleet. */
final class FaultSchedules {
  static final List<String> NODES = List.of("a1", "a2", "b1", "b2", "c1", "c2", "d1");

  /** The kinds of faults. */
  enum Kind {
    PAUSE,
    KILL,
    RESTART,
    REPLACE,
    EXPEL_LAGGING,
    CUT_FROM,
    CUT_TO,
    LOG_AWAY,
    CUT_LOG,
    CLOCK_STEP,
    EDIT
  }

  /** A fault of one node, with its start and duration. */
  record Fault(Kind kind, int node, int atMillis, int durationMillis) {
    String id() {
      return NODES.get(node);
    }
  }

  private FaultSchedules() {}

  static Arbitrary<List<Fault>> faults(int fromMillis, int toMillis) {
    return Combinators.combine(
            Arbitraries.of(Kind.values()),
            Arbitraries.integers().between(0, NODES.size() - 1),
            Arbitraries.integers().between(fromMillis, toMillis),
            Arbitraries.integers().between(100, 6000))
        .as(Fault::new)
        .list()
        .ofMinSize(2)
        .ofMaxSize(12);
  }

  static Arbitrary<SimulatedFleet.NetworkConditions> networkConditions() {
    return Combinators.combine(
            Arbitraries.of(0, 10, 100), Arbitraries.of(0, 100), Arbitraries.of(5, 200, 2500))
        .as(SimulatedFleet.NetworkConditions::new);
  }

  static void apply(SimulatedFleet fleet, Fault fault) {
    fleet.at(fault.atMillis(), () -> begin(fleet, fault));
    fleet.at(fault.atMillis() + fault.durationMillis(), () -> end(fleet, fault));
  }

  private static void begin(SimulatedFleet fleet, Fault fault) {
    SimulatedFleet.Node node = fleet.node(fault.id());
    switch (fault.kind()) {
      case PAUSE -> node.pause(fault.durationMillis());
      case KILL -> node.kill();
      case RESTART -> node.restart();
      case REPLACE -> {
        fleet.removeMember(fault.id());
        node.restart();
      }
      case EXPEL_LAGGING -> node.expelAndLag(fault.durationMillis());
      case CUT_FROM -> cutFrom(fleet, fault, true);
      case CUT_TO -> cutTo(fleet, fault, true);
      case LOG_AWAY -> fleet.setLogUnreachable(true);
      case CUT_LOG -> fleet.cut(fault.id(), "log", true);
      case EDIT -> scaleBurst(fleet, 0.5);
      case CLOCK_STEP -> node.stepWallClock(fault.durationMillis() - 3000);
    }
  }

  private static void end(SimulatedFleet fleet, Fault fault) {
    switch (fault.kind()) {
      case KILL -> fleet.node(fault.id()).restart();
      case CUT_FROM -> cutFrom(fleet, fault, false);
      case CUT_TO -> cutTo(fleet, fault, false);
      case LOG_AWAY -> fleet.setLogUnreachable(false);
      case CUT_LOG -> fleet.cut(fault.id(), "log", false);
      case EDIT -> scaleBurst(fleet, 2);
      case PAUSE, RESTART, REPLACE, EXPEL_LAGGING, CLOCK_STEP -> {}
    }
  }

  // If the burst is small, this also changes the number of holders.
  private static void scaleBurst(SimulatedFleet fleet, double factor) {
    fleet.editTeams(
        team ->
            new TeamSettings(
                team.team(),
                team.organisations().stream()
                    .map(o -> new Organisation(o.id(), o.rate(), o.burst() * factor))
                    .toList(),
                team.keys(),
                team.pools(),
                team.routes()));
  }

  private static void cutFrom(SimulatedFleet fleet, Fault fault, boolean isCut) {
    NODES.forEach(other -> fleet.cut(fault.id(), other, isCut));
  }

  private static void cutTo(SimulatedFleet fleet, Fault fault, boolean isCut) {
    NODES.forEach(other -> fleet.cut(other, fault.id(), isCut));
  }
}
