package org.bergamotcross.core.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.core.membership.Members;

/**
 * Folds the records of the log into the configuration in force; owned by one thread.
 *
 * <p>The state is a pure function of the records in offset order, so all readers that have folded
 * the same offset have the same state, whether they got the records from the log or from peers.
 *
 * <pre>{@code
 * ConfigurationFold fold = new ConfigurationFold(parser);
 * switch (fold.apply(offset, record)) {
 *   case FoldResult.Accepted accepted -> publish(fold.configuration());
 *   case FoldResult.Gap gap -> readFrom(gap.expected());
 *   default -> {}
 * }
 * }</pre>
 */
public final class ConfigurationFold {
  private static final String PATH_PREFIX = "/teams/";

  private record Team(FoldState.TeamVersion version, TeamSettings settings) {}

  private final ContentParser parser;
  private long offset = -1;
  private final Map<String, Team> teams = new TreeMap<>();
  private final Set<KeyHash> withdrawn = new HashSet<>();
  private final Map<KeyHash, String> keyOwners = new HashMap<>();
  private final Map<TargetId, String> targetOwners = new HashMap<>();
  private Members members = Members.NONE;
  private SeenEdits seenEdits = new SeenEdits();
  private Optional<Configuration> cachedConfiguration = Optional.empty();

  /**
   * Creates a fold that has not applied any record.
   *
   * @param parser parses the settings of teams
   */
  public ConfigurationFold(ContentParser parser) {
    this.parser = parser;
  }

  /**
   * Returns the offset of the last folded record.
   *
   * @return the offset, -1 if there is none
   */
  public long offset() {
    return offset;
  }

  /**
   * Returns the members of the fleet.
   *
   * @return the members at {@link #offset()}
   */
  public Members members() {
    return members;
  }

  /**
   * Returns the configuration in force, which is built on demand and cached until the next change.
   *
   * @return the configuration at {@link #offset()}
   */
  public Configuration configuration() {
    if (cachedConfiguration.isEmpty()) {
      Map<String, TeamSettings> settings = new HashMap<>();
      teams.forEach((team, entry) -> settings.put(team, entry.settings()));
      cachedConfiguration = Optional.of(Configuration.of(offset, settings, withdrawn, members));
    }
    return cachedConfiguration.get();
  }

  /**
   * Returns the version of the settings of each team.
   *
   * @return the offset of the edit in force, by team
   */
  public Map<String, Long> versions() {
    Map<String, Long> versions = new TreeMap<>();
    teams.forEach((team, entry) -> versions.put(team, entry.version().edit().offset()));
    return versions;
  }

  /**
   * Returns the complete state for a snapshot.
   *
   * @return the state at {@link #offset()}
   */
  public FoldState state() {
    List<FoldState.TeamVersion> versions = teams.values().stream().map(Team::version).toList();
    return new FoldState(offset, versions, withdrawn, members, seenEdits.list());
  }

  /**
   * Applies a record.
   *
   * @param recordOffset the offset of the record
   * @param record the record
   * @return the effect of the record; a snapshot has none, because all records that it covers are
   *     folded already
   */
  public FoldResult apply(long recordOffset, ControlRecord record) {
    if (recordOffset <= offset) {
      return new FoldResult.AlreadyFolded(offset);
    }
    if (recordOffset > offset + 1) {
      return new FoldResult.Gap(offset + 1);
    }
    FoldResult result =
        switch (record) {
          case ControlRecord.Edit edit -> applyEdit(recordOffset, edit);
          case ControlRecord.Withdraw withdraw -> applyWithdrawal(withdraw);
          case ControlRecord.Snapshot snapshot -> new FoldResult.Unchanged(snapshot);
          case ControlRecord.Join join -> applyJoin(recordOffset, join);
          case ControlRecord.Leave leave ->
              removeMember(recordOffset, leave.instance(), leave.incarnation(), leave);
          case ControlRecord.Expel expel ->
              removeMember(recordOffset, expel.instance(), expel.incarnation(), expel);
        };
    advanceTo(recordOffset);
    return result;
  }

  /**
   * Skips an unreadable record; every reader skips the same records.
   *
   * @param recordOffset the offset of the record
   * @param reason why the record is unreadable
   * @return {@link FoldResult.Invalid}, or {@link FoldResult.AlreadyFolded} or {@link
   *     FoldResult.Gap} when the offset is not the next one
   */
  public FoldResult skip(long recordOffset, String reason) {
    if (recordOffset <= offset) {
      return new FoldResult.AlreadyFolded(offset);
    }
    if (recordOffset > offset + 1) {
      return new FoldResult.Gap(offset + 1);
    }
    advanceTo(recordOffset);
    return new FoldResult.Invalid(List.of(reason));
  }

  /**
   * Replaces the state by that of a snapshot if the snapshot is ahead.
   *
   * @param state the state, from the log or from a peer
   * @return {@link FoldResult.Accepted}, {@link FoldResult.AlreadyFolded} when the snapshot is not
   *     ahead, or {@link FoldResult.Invalid} when the settings of a team can't be parsed
   */
  public FoldResult restore(FoldState state) {
    if (state.upTo() <= offset) {
      return new FoldResult.AlreadyFolded(offset);
    }
    Map<String, Team> restored = new TreeMap<>();
    for (FoldState.TeamVersion version : state.teams()) {
      switch (parser.parse(PATH_PREFIX + version.team(), version.content())) {
        case ContentParser.Result.Invalid invalid -> {
          return new FoldResult.Invalid(invalid.problems());
        }
        case ContentParser.Result.Valid valid ->
            restored.put(version.team(), new Team(version, valid.settings()));
      }
    }
    teams.clear();
    teams.putAll(restored);
    withdrawn.clear();
    withdrawn.addAll(state.withdrawn());
    members = state.members();
    seenEdits = SeenEdits.of(state.seenEdits());
    keyOwners.clear();
    targetOwners.clear();
    restored.values().forEach(team -> recordOwnership(team.settings()));
    advanceTo(state.upTo());
    return new FoldResult.Accepted(new ControlRecord.Snapshot(state));
  }

  private void advanceTo(long recordOffset) {
    offset = recordOffset;
    cachedConfiguration = Optional.empty();
  }

  private FoldResult applyEdit(long recordOffset, ControlRecord.Edit edit) {
    Optional<EditReference> first = seenEdits.find(edit.editId());
    if (first.isPresent()) {
      return new FoldResult.Duplicate(first.get());
    }
    EditReference reference = new EditReference(edit.editId(), edit.author(), recordOffset);
    seenEdits.add(reference);
    if (!edit.path().startsWith(PATH_PREFIX)) {
      return new FoldResult.Invalid(
          List.of("path \"" + edit.path() + "\" is invalid; expected " + PATH_PREFIX + "TEAM"));
    }
    String team = edit.path().substring(PATH_PREFIX.length());
    Optional<EditReference> current =
        Optional.ofNullable(teams.get(team)).map(entry -> entry.version().edit());
    if (current.map(EditReference::offset).orElse(-1L) != edit.basedOn()) {
      return new FoldResult.Conflict(current);
    }
    return switch (parser.parse(edit.path(), edit.content())) {
      case ContentParser.Result.Invalid invalid -> new FoldResult.Invalid(invalid.problems());
      case ContentParser.Result.Valid valid -> acceptEdit(edit, team, reference, valid.settings());
    };
  }

  private FoldResult acceptEdit(
      ControlRecord.Edit edit, String team, EditReference reference, TeamSettings settings) {
    List<String> problems = new ArrayList<>();
    if (!settings.team().equals(team)) {
      problems.add("[team] name \"" + settings.team() + "\" does not match path " + edit.path());
    }
    problems.addAll(ownershipConflicts(team, settings));
    if (!problems.isEmpty()) {
      return new FoldResult.Invalid(problems);
    }
    Optional.ofNullable(teams.get(team))
        .ifPresent(previous -> removeOwnership(previous.settings()));
    recordOwnership(settings);
    teams.put(team, new Team(new FoldState.TeamVersion(team, reference, edit.content()), settings));
    return new FoldResult.Accepted(edit);
  }

  // A key shared by two teams would let a request run on behalf of an organisation that did not
  // send it, and a target shared by two teams would get the slots of both.
  private List<String> ownershipConflicts(String team, TeamSettings settings) {
    List<String> problems = new ArrayList<>();
    for (ApiKey key : settings.keys()) {
      otherOwner(keyOwners.get(key.hash()), team)
          .ifPresent(
              owner ->
                  problems.add(
                      "[key " + key.name() + "] has the same hash as a key of team " + owner));
    }
    for (Pool pool : settings.pools()) {
      for (Target target : pool.targets()) {
        otherOwner(targetOwners.get(target.id()), team)
            .ifPresent(
                owner ->
                    problems.add("target " + target.id() + " already belongs to team " + owner));
      }
    }
    return problems;
  }

  private static Optional<String> otherOwner(String owner, String team) {
    return Optional.ofNullable(owner).filter(name -> !name.equals(team));
  }

  private void recordOwnership(TeamSettings settings) {
    settings.keys().forEach(key -> keyOwners.put(key.hash(), settings.team()));
    settings
        .pools()
        .forEach(pool -> pool.targets().forEach(t -> targetOwners.put(t.id(), settings.team())));
  }

  private void removeOwnership(TeamSettings settings) {
    settings.keys().forEach(key -> keyOwners.remove(key.hash()));
    settings.pools().forEach(pool -> pool.targets().forEach(t -> targetOwners.remove(t.id())));
  }

  private FoldResult applyWithdrawal(ControlRecord.Withdraw withdraw) {
    return withdrawn.add(withdraw.key())
        ? new FoldResult.Accepted(withdraw)
        : new FoldResult.Unchanged(withdraw);
  }

  private FoldResult applyJoin(long recordOffset, ControlRecord.Join join) {
    Member member = join.member();
    if (members.find(member.id()).equals(Optional.of(member))) {
      return new FoldResult.Unchanged(join);
    }
    List<Member> list = membersWithout(member.id());
    list.add(member);
    members = new Members(recordOffset, list);
    return new FoldResult.Accepted(join);
  }

  private FoldResult removeMember(
      long recordOffset, InstanceId id, long incarnation, ControlRecord record) {
    if (members.find(id).filter(member -> member.incarnation() == incarnation).isEmpty()) {
      return new FoldResult.Unchanged(record);
    }
    members = new Members(recordOffset, membersWithout(id));
    return new FoldResult.Accepted(record);
  }

  private List<Member> membersWithout(InstanceId id) {
    List<Member> list = new ArrayList<>(members.list());
    list.removeIf(member -> member.id().equals(id));
    return list;
  }
}
