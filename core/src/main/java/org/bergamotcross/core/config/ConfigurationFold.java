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
 * <p>The state is a pure function of the records in the order of their offsets, so all readers that
 * have folded the same offset hold the same state, however they came by the records.
 *
 * <pre>{@code
 * ConfigurationFold fold = new ConfigurationFold(reader);
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

  private final ContentReader contents;
  private long offset = -1;
  private final Map<String, Team> teams = new TreeMap<>();
  private final Set<KeyHash> withdrawn = new HashSet<>();
  private final Map<KeyHash, String> keyOwners = new HashMap<>();
  private final Map<TargetId, String> targetOwners = new HashMap<>();
  private Members members = Members.NONE;
  private SeenEdits seen = new SeenEdits();
  private Optional<Configuration> built = Optional.empty();

  /**
   * Creates a fold of no records.
   *
   * @param contents reads the text of subtrees
   */
  public ConfigurationFold(ContentReader contents) {
    this.contents = contents;
  }

  /**
   * Returns the offset of the last folded record.
   *
   * @return the offset, -1 for none
   */
  public long offset() {
    return offset;
  }

  /**
   * Returns the members.
   *
   * @return the members at {@link #offset()}
   */
  public Members members() {
    return members;
  }

  /**
   * Returns the configuration in force; built once for each change.
   *
   * @return the configuration at {@link #offset()}
   */
  public Configuration configuration() {
    if (built.isEmpty()) {
      Map<String, TeamSettings> settings = new HashMap<>();
      teams.forEach((team, entry) -> settings.put(team, entry.settings()));
      built = Optional.of(Configuration.of(offset, settings, withdrawn, members));
    }
    return built.get();
  }

  /**
   * Returns the version of each team.
   *
   * @return the offsets of the edits in force, by team
   */
  public Map<String, Long> versions() {
    Map<String, Long> versions = new TreeMap<>();
    teams.forEach((team, entry) -> versions.put(team, entry.version().edit().offset()));
    return versions;
  }

  /**
   * Returns the whole state, for a snapshot.
   *
   * @return the state at {@link #offset()}
   */
  public FoldState state() {
    List<FoldState.TeamVersion> versions = teams.values().stream().map(Team::version).toList();
    return new FoldState(offset, versions, withdrawn, members, seen.list());
  }

  /**
   * Folds a record.
   *
   * @param at the offset of the record
   * @param record the record
   * @return what it did; a snapshot changes nothing here, because all records up to it are folded
   */
  public FoldResult apply(long at, ControlRecord record) {
    if (at <= offset) {
      return new FoldResult.AlreadyKnown(offset);
    }
    if (at > offset + 1) {
      return new FoldResult.Gap(offset + 1);
    }
    FoldResult result =
        switch (record) {
          case ControlRecord.Edit edit -> edit(at, edit);
          case ControlRecord.Withdraw withdraw -> withdraw(withdraw);
          case ControlRecord.Snapshot snapshot -> new FoldResult.Unchanged(snapshot);
          case ControlRecord.Join join -> join(at, join);
          case ControlRecord.Leave leave ->
              remove(at, leave.instance(), leave.incarnation(), leave);
          case ControlRecord.Expel expel ->
              remove(at, expel.instance(), expel.incarnation(), expel);
        };
    advance(at);
    return result;
  }

  /**
   * Steps over a record that can't be read; every reader steps over the same ones.
   *
   * @param at the offset of the record
   * @param reason why it can't be read
   * @return {@link FoldResult.Invalid}, or that the offset was not the next one
   */
  public FoldResult skip(long at, String reason) {
    if (at <= offset) {
      return new FoldResult.AlreadyKnown(offset);
    }
    if (at > offset + 1) {
      return new FoldResult.Gap(offset + 1);
    }
    advance(at);
    return new FoldResult.Invalid(List.of(reason));
  }

  /**
   * Adopts the state of a snapshot when it is ahead of this one.
   *
   * @param state the state, from the log or from a peer
   * @return {@link FoldResult.Accepted}, {@link FoldResult.AlreadyKnown} when the snapshot is not
   *     ahead, or {@link FoldResult.Invalid} when a part can't be read
   */
  public FoldResult restore(FoldState state) {
    if (state.upTo() <= offset) {
      return new FoldResult.AlreadyKnown(offset);
    }
    Map<String, Team> restored = new TreeMap<>();
    for (FoldState.TeamVersion version : state.teams()) {
      switch (contents.read(PATH_PREFIX + version.team(), version.content())) {
        case ContentReader.Result.Invalid invalid -> {
          return new FoldResult.Invalid(invalid.problems());
        }
        case ContentReader.Result.Valid valid ->
            restored.put(version.team(), new Team(version, valid.settings()));
      }
    }
    teams.clear();
    teams.putAll(restored);
    withdrawn.clear();
    withdrawn.addAll(state.withdrawn());
    members = state.members();
    seen = SeenEdits.of(state.seen());
    keyOwners.clear();
    targetOwners.clear();
    restored.values().forEach(team -> own(team.settings()));
    advance(state.upTo());
    return new FoldResult.Accepted(new ControlRecord.Snapshot(state));
  }

  private void advance(long at) {
    offset = at;
    built = Optional.empty();
  }

  private FoldResult edit(long at, ControlRecord.Edit edit) {
    Optional<EditReference> first = seen.find(edit.editId());
    if (first.isPresent()) {
      return new FoldResult.Duplicate(first.get());
    }
    EditReference reference = new EditReference(edit.editId(), edit.author(), at);
    seen.add(reference);
    if (!edit.path().startsWith(PATH_PREFIX)) {
      return new FoldResult.Invalid(
          List.of("path \"" + edit.path() + "\"; expected " + PATH_PREFIX + "TEAM"));
    }
    String team = edit.path().substring(PATH_PREFIX.length());
    Optional<EditReference> current =
        Optional.ofNullable(teams.get(team)).map(entry -> entry.version().edit());
    if (current.map(EditReference::offset).orElse(-1L) != edit.basedOn()) {
      return new FoldResult.Conflict(current);
    }
    return switch (contents.read(edit.path(), edit.content())) {
      case ContentReader.Result.Invalid invalid -> new FoldResult.Invalid(invalid.problems());
      case ContentReader.Result.Valid valid -> accept(edit, team, reference, valid.settings());
    };
  }

  private FoldResult accept(
      ControlRecord.Edit edit, String team, EditReference reference, TeamSettings settings) {
    List<String> problems = new ArrayList<>();
    if (!settings.team().equals(team)) {
      problems.add("[team] name \"" + settings.team() + "\" under " + edit.path());
    }
    problems.addAll(claimedElsewhere(team, settings));
    if (!problems.isEmpty()) {
      return new FoldResult.Invalid(problems);
    }
    Optional.ofNullable(teams.get(team)).ifPresent(previous -> disown(previous.settings()));
    own(settings);
    teams.put(team, new Team(new FoldState.TeamVersion(team, reference, edit.content()), settings));
    return new FoldResult.Accepted(edit);
  }

  // A key of two teams would let a request run on behalf of an organisation that did not send it,
  // and a target of two teams would get the slots of both.
  private List<String> claimedElsewhere(String team, TeamSettings settings) {
    List<String> problems = new ArrayList<>();
    for (Key key : settings.keys()) {
      otherOwner(keyOwners.get(key.hash()), team)
          .ifPresent(
              owner -> problems.add("[key " + key.name() + "] has the hash of a key of " + owner));
    }
    for (Pool pool : settings.pools()) {
      for (Target target : pool.targets()) {
        otherOwner(targetOwners.get(target.id()), team)
            .ifPresent(
                owner -> problems.add("target " + target.id() + " is a target of team " + owner));
      }
    }
    return problems;
  }

  private static Optional<String> otherOwner(String owner, String team) {
    return Optional.ofNullable(owner).filter(name -> !name.equals(team));
  }

  private void own(TeamSettings settings) {
    settings.keys().forEach(key -> keyOwners.put(key.hash(), settings.team()));
    settings
        .pools()
        .forEach(pool -> pool.targets().forEach(t -> targetOwners.put(t.id(), settings.team())));
  }

  private void disown(TeamSettings settings) {
    settings.keys().forEach(key -> keyOwners.remove(key.hash()));
    settings.pools().forEach(pool -> pool.targets().forEach(t -> targetOwners.remove(t.id())));
  }

  private FoldResult withdraw(ControlRecord.Withdraw withdraw) {
    return withdrawn.add(withdraw.key())
        ? new FoldResult.Accepted(withdraw)
        : new FoldResult.Unchanged(withdraw);
  }

  private FoldResult join(long at, ControlRecord.Join join) {
    Member member = join.member();
    if (members.find(member.id()).equals(Optional.of(member))) {
      return new FoldResult.Unchanged(join);
    }
    List<Member> list = without(member.id());
    list.add(member);
    members = new Members(at, list);
    return new FoldResult.Accepted(join);
  }

  private FoldResult remove(long at, InstanceId id, long incarnation, ControlRecord record) {
    if (members.find(id).filter(member -> member.incarnation() == incarnation).isEmpty()) {
      return new FoldResult.Unchanged(record);
    }
    members = new Members(at, without(id));
    return new FoldResult.Accepted(record);
  }

  private List<Member> without(InstanceId id) {
    List<Member> list = new ArrayList<>(members.list());
    list.removeIf(member -> member.id().equals(id));
    return list;
  }
}
