package org.bergamotcross.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Members;
import org.bergamotcross.kernel.Now;

/**
 * Holds claims of idempotency keys for the organisations of which this instance is a holder.
 *
 * <p>Each time the holder set of an organisation changes, every holder of the new set learns the
 * claims of the earlier sets before it votes. Two attempts with one key therefore never both get a
 * majority, whichever sets they asked.
 *
 * <pre>{@code
 * holder.configure(configuration, now);
 * send(from, holder.onAsk(ask, now));
 * holder.tick(now).forEach(this::send);
 * }</pre>
 */
public final class ClaimHolder {
  private static final Duration SYNC_RETRY = Duration.ofMillis(100);
  private static final Duration EXPIRY_INTERVAL = Duration.ofSeconds(10);

  // Claims of a set can be made until its last member has stopped, and are kept from then on.
  private static final Duration WINDOW = ClaimTable.RETENTION;

  // A request that was admitted before its organisation was removed ends within 60 s.
  private static final Duration REMOVED_WINDOW = WINDOW.plus(Duration.ofMinutes(1));

  // Bounds the messages of a process that has just started; one that knows the history suffices.
  private static final int MAX_HISTORY_SOURCES = 32;

  private static final class Held {
    final HolderHistory history;
    boolean ready;
    Optional<ClaimSyncRound> sync = Optional.empty();
    Optional<Now> removedAt = Optional.empty();

    Held(HolderHistory history) {
      this.history = history;
    }
  }

  private final HolderSet.Holder self;
  private final SettledOffset settled;
  private final ClaimTable table;
  private final Map<String, Held> held = new HashMap<>();
  private Configuration configuration = Configuration.EMPTY;
  private Optional<Now> freshUntil = Optional.empty();
  private Optional<Now> lastSync = Optional.empty();
  private Optional<Now> lastExpiry = Optional.empty();
  // Whether no claim can be live that was made before the first configuration of the history. It
  // is so at first only if the log is empty; any other first configuration does not follow.
  private boolean knowsAllHistory = true;
  private long historySince = Configuration.EMPTY.offset();
  private Optional<Now> historySettledAt = Optional.empty();
  private long rounds;

  /**
   * Creates a holder without claims.
   *
   * @param self the own instance
   * @param incarnation the incarnation of this process
   * @param quorum the other members' offsets; configured by the caller before this object
   * @param maxClaims the number of claims it keeps at most
   * @param maxAnswerBytes the bytes of kept answers at most; further answers are not kept
   */
  public ClaimHolder(
      InstanceId self, long incarnation, OffsetQuorum quorum, int maxClaims, long maxAnswerBytes) {
    this.self = new HolderSet.Holder(self.value(), incarnation);
    this.settled = new SettledOffset(quorum, RateHolder.FRESHNESS);
    this.table = new ClaimTable(maxClaims, maxAnswerBytes);
  }

  /**
   * Takes the time until which this instance may act on its configuration.
   *
   * @param until the end of the freshness
   */
  public void freshUntil(Now until) {
    freshUntil = Optional.of(until);
  }

  private boolean isFresh(Now now) {
    return freshUntil.map(now::isBefore).orElse(false);
  }

  /**
   * Takes a new configuration.
   *
   * @param next the configuration
   * @param now the present time
   */
  public void configure(Configuration next, Now now) {
    Configuration before = configuration;
    boolean continuous = isFresh(now) && RateShares.follows(before, next);
    if (!continuous) {
      // Without members there were never holders, so nothing can have been claimed.
      knowsAllHistory = next.members().equals(Members.NONE);
      historySince = next.offset();
      historySettledAt = Optional.empty();
    }
    configuration = next;
    settled.add(next.offset());
    Set<String> ids = new HashSet<>(held.keySet());
    next.organisations().forEach(organisation -> ids.add(organisation.id().value()));
    boolean sameMembers = continuous && before.members().epoch() == next.members().epoch();
    ids.forEach(
        id -> {
          if (!sameMembers || !held.containsKey(id)) {
            update(id, continuous);
          }
          noteRemoval(id, now);
        });
  }

  private void update(String id, boolean continuous) {
    HolderSet set = HolderSet.of(configuration.members().holders(id));
    long offset = configuration.offset();
    Held state = held.get(id);
    if (state == null) {
      state = new Held(new HolderHistory(set, knowsAllHistory, offset, WINDOW));
      held.put(id, state);
      resync(state);
    } else if (!continuous) {
      state.history.appendAfterGap(set, offset);
      resync(state);
    } else if (!set.equals(state.history.present())) {
      state.history.append(set, offset);
      resync(state);
    }
  }

  // The claims of a removed organisation still count if it is configured again.
  private void noteRemoval(String id, Now now) {
    Held state = held.get(id);
    if (configuration.organisation(new OrganisationId(id)).isPresent()) {
      state.removedAt = Optional.empty();
    } else if (state.removedAt.isEmpty()) {
      state.removedAt = Optional.of(now);
    }
  }

  private void resync(Held state) {
    state.ready = false;
    rounds++;
    state.sync =
        state.history.present().holders().contains(self)
            ? Optional.of(new ClaimSyncRound(rounds, self, state.history, others(state)))
            : Optional.empty();
    settle(state);
  }

  // Only a process that knows the history can tell whose claims are missing.
  private List<HolderSet.Holder> others(Held state) {
    List<HolderSet.Holder> all = HolderSet.of(configuration.members().list()).holders();
    return state.history.isBased()
        ? List.of()
        : all.subList(0, Math.min(MAX_HISTORY_SOURCES, all.size()));
  }

  private static void settle(Held state) {
    if (state.sync.map(ClaimSyncRound::isComplete).orElse(false)) {
      state.ready = true;
      state.sync = Optional.empty();
      state.history.collapse();
    }
  }

  /**
   * Answers an ask.
   *
   * @param ask the ask
   * @param now the present time
   * @return the answer
   */
  public ClaimAnswer onAsk(ClaimAsk ask, Now now) {
    return ClaimAnswer.of(ask, verdict(ask, now));
  }

  private ClaimVerdict verdict(ClaimAsk ask, Now now) {
    if (ask.epoch() != configuration.members().epoch()) {
      return new ClaimVerdict.WrongEpoch();
    }
    return isReady(ask.organisation()) && isFresh(now)
        ? table.claim(ask, now)
        : new ClaimVerdict.NotReady();
  }

  /**
   * Records how an attempt ended.
   *
   * @param outcome the end
   * @param now the present time
   */
  public void onOutcome(ClaimOutcome outcome, Now now) {
    ClaimState.of(outcome.state()).ifPresent(state -> table.end(outcome, state, now));
  }

  /**
   * Answers another holder that learns claims.
   *
   * @param sync the ask
   * @param now the present time
   * @return one page; nothing when this instance is at another epoch or knows no history
   */
  public Optional<ClaimSyncAnswer> onSync(ClaimSync sync, Now now) {
    if (sync.epoch() != configuration.members().epoch()) {
      return Optional.empty();
    }
    return Optional.ofNullable(held.get(sync.organisation()))
        .map(state -> syncAnswer(sync, state, now));
  }

  private ClaimSyncAnswer syncAnswer(ClaimSync sync, Held state, Now now) {
    String id = sync.organisation();
    List<ClaimSyncAnswer.Entry> page = table.page(id, sync.afterKey(), now);
    boolean last = page.isEmpty() || !table.hasAfter(id, page.getLast().key());
    return new ClaimSyncAnswer(
        id,
        sync.epoch(),
        sync.round(),
        sync.afterKey(),
        self.incarnation(),
        state.history.isBased(),
        state.history.sets(),
        page,
        last);
  }

  /**
   * Takes a page of claims.
   *
   * @param from the sender
   * @param answer the page
   * @param now the present time
   * @return the ask for the next page, when there is one
   */
  public Optional<PeerMessage> onSyncAnswer(InstanceId from, ClaimSyncAnswer answer, Now now) {
    Held state = held.get(answer.organisation());
    HolderSet.Holder source = new HolderSet.Holder(from.value(), answer.incarnation());
    if (state == null
        || answer.epoch() != configuration.members().epoch()
        || !state.sync.map(sync -> sync.expects(source, answer)).orElse(false)
        || !merge(answer, now)) {
      return Optional.empty();
    }
    ClaimSyncRound sync = state.sync.orElseThrow();
    sync.merged(source, answer);
    settle(state);
    return answer.last()
        ? Optional.empty()
        : Optional.of(ask(source, answer.organisation(), sync, answer.claims().getLast().key()));
  }

  // Without room for a claim the page is asked for again, and the holder does not vote.
  private boolean merge(ClaimSyncAnswer answer, Now now) {
    boolean all = true;
    for (ClaimSyncAnswer.Entry entry : answer.claims()) {
      ClaimState state = ClaimState.of(entry.state()).orElse(ClaimState.UNKNOWN);
      all &= table.merge(answer.organisation(), entry, state, now);
    }
    return all;
  }

  private PeerMessage ask(
      HolderSet.Holder source, String organisation, ClaimSyncRound sync, String afterKey) {
    long epoch = configuration.members().epoch();
    return new PeerMessage(
        source.instance(), new ClaimSync(organisation, epoch, sync.round(), afterKey));
  }

  /**
   * Asks for claims that are missing and drops old ones.
   *
   * @param now the present time
   * @return messages to send
   */
  public List<PeerMessage> tick(Now now) {
    settled.tick(now);
    if (isDue(lastExpiry, EXPIRY_INTERVAL, now)) {
      lastExpiry = Optional.of(now);
      expire(now);
    }
    List<PeerMessage> asks = new ArrayList<>();
    if (isDue(lastSync, SYNC_RETRY, now)) {
      lastSync = Optional.of(now);
      held.forEach((id, state) -> asks.addAll(tick(id, state, now)));
    }
    return asks;
  }

  private void expire(Now now) {
    table.expire(now);
    if (historySettledAt.isEmpty() && settled.has(historySince)) {
      historySettledAt = Optional.of(now);
    }
    knowsAllHistory |= historySettledAt.map(at -> !now.isBefore(at.plus(WINDOW))).orElse(false);
    held.values()
        .removeIf(
            state ->
                state.removedAt.map(at -> !now.isBefore(at.plus(REMOVED_WINDOW))).orElse(false));
  }

  private static boolean isDue(Optional<Now> last, Duration interval, Now now) {
    return last.map(at -> !now.isBefore(at.plus(interval))).orElse(true);
  }

  private List<PeerMessage> tick(String id, Held state, Now now) {
    int known = state.history.sets().size();
    boolean based = state.history.isBased();
    state.history.tick(settled, now);
    if (state.sync.isPresent()
        && (state.history.sets().size() < known || state.history.isBased() != based)) {
      resync(state);
    }
    List<PeerMessage> asks = new ArrayList<>();
    state.sync.ifPresent(
        sync -> sync.open().forEach((source, key) -> asks.add(ask(source, id, sync, key))));
    return asks;
  }

  /**
   * Tells whether this instance votes on claims of an organisation.
   *
   * @param organisation the id of the organisation
   * @return whether it is a holder that knows all earlier claims
   */
  public boolean isReady(String organisation) {
    return Optional.ofNullable(held.get(organisation)).map(state -> state.ready).orElse(false);
  }

  /**
   * Returns the number of claims.
   *
   * @return the claims in memory, for metrics
   */
  public int size() {
    return table.size();
  }
}
