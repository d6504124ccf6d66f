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
import org.bergamotcross.kernel.ClockReading;

/**
 * Stores and votes on idempotency-key claims for the organisations of which this instance is a
 * holder.
 *
 * <p>Each time the holder set of an organisation changes, every holder of the new set copies the
 * claims of the earlier sets before it votes. Two attempts with the same key therefore never both
 * get a majority, whichever sets they contacted.
 *
 * <pre>{@code
 * holder.configure(configuration, now);
 * send(from, holder.onRequest(request, now));
 * holder.tick(now).forEach(this::send);
 * }</pre>
 */
public final class ClaimHolder {
  private static final Duration SYNC_RETRY = Duration.ofMillis(100);
  private static final Duration EXPIRY_INTERVAL = Duration.ofSeconds(10);

  // A holder set can grant claims until its last member has stopped; each is retained from then on.
  private static final Duration CLAIM_WINDOW = ClaimTable.RETENTION;

  // A request admitted before the removal of its organisation ends within 60 s.
  private static final Duration REMOVED_ORGANISATION_WINDOW =
      CLAIM_WINDOW.plus(Duration.ofMinutes(1));

  // Limits the sync requests of a process that has just started; one source with the full history
  // is enough.
  private static final int MAX_HISTORY_SOURCES = 32;

  private static final class OrganisationClaims {
    final HolderHistory history;
    boolean ready;
    Optional<ClaimSyncRound> sync = Optional.empty();
    Optional<ClockReading> removedAt = Optional.empty();

    OrganisationClaims(HolderHistory history) {
      this.history = history;
    }
  }

  private final HolderSet.Holder self;
  private final SettledOffset settledOffset;
  private final ClaimTable table;
  private final Map<String, OrganisationClaims> organisations = new HashMap<>();
  private Configuration configuration = Configuration.EMPTY;
  private Optional<ClockReading> freshUntil = Optional.empty();
  private Optional<ClockReading> lastSync = Optional.empty();
  private Optional<ClockReading> lastExpiry = Optional.empty();
  // Whether every claim made before the start of the history has expired. At first this holds only
  // for an empty log; any other first configuration does not directly follow an earlier one.
  private boolean knowsAllHistory = true;
  private long historyStartOffset = Configuration.EMPTY.offset();
  private Optional<ClockReading> historySettledAt = Optional.empty();
  private long lastRound;

  /**
   * Creates a holder that has no claims.
   *
   * @param self the id of this instance
   * @param incarnation the incarnation of this process
   * @param quorum the offsets of the other members; the caller configures it before this holder
   * @param maxClaims the maximum number of claims
   * @param maxAnswerBytes the maximum total size of stored response bodies; further responses are
   *     not stored
   */
  public ClaimHolder(
      InstanceId self, long incarnation, OffsetQuorum quorum, int maxClaims, long maxAnswerBytes) {
    this.self = new HolderSet.Holder(self.value(), incarnation);
    this.settledOffset = new SettledOffset(quorum, TokenLender.FRESHNESS_LIMIT);
    this.table = new ClaimTable(maxClaims, maxAnswerBytes);
  }

  /**
   * Sets the time until which this instance may act on its configuration.
   *
   * @param until when the configuration stops counting as fresh
   */
  public void setFreshUntil(ClockReading until) {
    freshUntil = Optional.of(until);
  }

  private boolean isFresh(ClockReading now) {
    return freshUntil.map(now::isBefore).orElse(false);
  }

  /**
   * Applies a new configuration.
   *
   * @param next the configuration
   * @param now the current time
   */
  public void configure(Configuration next, ClockReading now) {
    Configuration before = configuration;
    boolean continuous = isFresh(now) && HolderAssignment.isAtMostOneRecordApart(before, next);
    if (!continuous) {
      // Without members there were no holders, so no claim can have been granted.
      knowsAllHistory = next.members().equals(Members.NONE);
      historyStartOffset = next.offset();
      historySettledAt = Optional.empty();
    }
    configuration = next;
    settledOffset.addOffset(next.offset());
    Set<String> ids = new HashSet<>(organisations.keySet());
    next.organisations().forEach(organisation -> ids.add(organisation.id().value()));
    boolean sameMembers = continuous && before.members().epoch() == next.members().epoch();
    ids.forEach(
        id -> {
          if (!sameMembers || !organisations.containsKey(id)) {
            updateHolderSet(id, continuous);
          }
          recordRemoval(id, now);
        });
  }

  private void updateHolderSet(String id, boolean continuous) {
    HolderSet set = HolderSet.of(configuration.members().holders(id));
    long offset = configuration.offset();
    OrganisationClaims state = organisations.get(id);
    if (state == null) {
      state = new OrganisationClaims(new HolderHistory(set, knowsAllHistory, offset, CLAIM_WINDOW));
      organisations.put(id, state);
      resync(state);
    } else if (!continuous) {
      state.history.appendAfterGap(set, offset);
      resync(state);
    } else if (!set.equals(state.history.current())) {
      state.history.append(set, offset);
      resync(state);
    }
  }

  // Claims outlive the removal of their organisation in case it is configured again.
  private void recordRemoval(String id, ClockReading now) {
    OrganisationClaims state = organisations.get(id);
    if (configuration.organisation(new OrganisationId(id)).isPresent()) {
      state.removedAt = Optional.empty();
    } else if (state.removedAt.isEmpty()) {
      state.removedAt = Optional.of(now);
    }
  }

  private void resync(OrganisationClaims state) {
    state.ready = false;
    lastRound++;
    state.sync =
        state.history.current().holders().contains(self)
            ? Optional.of(new ClaimSyncRound(lastRound, self, state.history, historySources(state)))
            : Optional.empty();
    finishSyncIfComplete(state);
  }

  // Without the full history, this process cannot know which earlier holders to ask.
  private List<HolderSet.Holder> historySources(OrganisationClaims state) {
    List<HolderSet.Holder> all = HolderSet.of(configuration.members().list()).holders();
    return state.history.hasKnownStart()
        ? List.of()
        : all.subList(0, Math.min(MAX_HISTORY_SOURCES, all.size()));
  }

  private static void finishSyncIfComplete(OrganisationClaims state) {
    if (state.sync.map(ClaimSyncRound::isComplete).orElse(false)) {
      state.ready = true;
      state.sync = Optional.empty();
      state.history.dropEarlierSets();
    }
  }

  /**
   * Votes on a claim.
   *
   * @param request the claim request
   * @param now the current time
   * @return the response with the verdict
   */
  public ClaimResponse onRequest(ClaimRequest request, ClockReading now) {
    return ClaimResponse.of(request, verdict(request, now));
  }

  private ClaimVerdict verdict(ClaimRequest request, ClockReading now) {
    if (request.epoch() != configuration.members().epoch()) {
      return new ClaimVerdict.WrongEpoch();
    }
    return isReady(request.organisation()) && isFresh(now)
        ? table.claim(request, now)
        : new ClaimVerdict.NotReady();
  }

  /**
   * Records the outcome of an attempt.
   *
   * @param outcome the outcome
   * @param now the current time
   */
  public void onOutcome(ClaimOutcome outcome, ClockReading now) {
    ClaimState.fromWireName(outcome.state())
        .ifPresent(state -> table.recordOutcome(outcome, state, now));
  }

  /**
   * Returns a page of claims to a holder that synchronises.
   *
   * @param sync the sync request
   * @param now the current time
   * @return the page; empty if this instance is at another epoch or does not track the organisation
   */
  public Optional<ClaimSyncResponse> onSyncRequest(ClaimSyncRequest sync, ClockReading now) {
    if (sync.epoch() != configuration.members().epoch()) {
      return Optional.empty();
    }
    return Optional.ofNullable(organisations.get(sync.organisation()))
        .map(state -> syncResponse(sync, state, now));
  }

  private ClaimSyncResponse syncResponse(
      ClaimSyncRequest sync, OrganisationClaims state, ClockReading now) {
    String id = sync.organisation();
    List<ClaimSyncResponse.Entry> page = table.page(id, sync.afterKey(), now);
    boolean last = page.isEmpty() || !table.hasAfter(id, page.getLast().key());
    return new ClaimSyncResponse(
        id,
        sync.epoch(),
        sync.round(),
        sync.afterKey(),
        self.incarnation(),
        state.history.hasKnownStart(),
        state.history.sets(),
        page,
        last);
  }

  /**
   * Merges a page of claims received from another holder.
   *
   * @param from the sender
   * @param page the page
   * @param now the current time
   * @return the request for the next page, if there is one
   */
  public Optional<OutboundMessage> onSyncResponse(
      InstanceId from, ClaimSyncResponse page, ClockReading now) {
    OrganisationClaims state = organisations.get(page.organisation());
    HolderSet.Holder source = new HolderSet.Holder(from.value(), page.incarnation());
    if (state == null
        || page.epoch() != configuration.members().epoch()
        || !state.sync.map(sync -> sync.expects(source, page)).orElse(false)
        || !merge(page, now)) {
      return Optional.empty();
    }
    ClaimSyncRound sync = state.sync.orElseThrow();
    sync.recordMerged(source, page);
    finishSyncIfComplete(state);
    return page.last()
        ? Optional.empty()
        : Optional.of(
            syncRequest(source, page.organisation(), sync, page.claims().getLast().key()));
  }

  // If a claim does not fit, the page is requested again and the holder does not vote until then.
  private boolean merge(ClaimSyncResponse page, ClockReading now) {
    boolean all = true;
    for (ClaimSyncResponse.Entry entry : page.claims()) {
      ClaimState state = ClaimState.fromWireName(entry.state()).orElse(ClaimState.UNKNOWN);
      all &= table.merge(page.organisation(), entry, state, now);
    }
    return all;
  }

  private OutboundMessage syncRequest(
      HolderSet.Holder source, String organisation, ClaimSyncRound sync, String afterKey) {
    long epoch = configuration.members().epoch();
    return new OutboundMessage(
        source.instance(), new ClaimSyncRequest(organisation, epoch, sync.round(), afterKey));
  }

  /**
   * Requests missing claims and removes expired ones; called periodically.
   *
   * @param now the current time
   * @return messages to send
   */
  public List<OutboundMessage> tick(ClockReading now) {
    settledOffset.tick(now);
    if (isDue(lastExpiry, EXPIRY_INTERVAL, now)) {
      lastExpiry = Optional.of(now);
      expire(now);
    }
    List<OutboundMessage> requests = new ArrayList<>();
    if (isDue(lastSync, SYNC_RETRY, now)) {
      lastSync = Optional.of(now);
      organisations.forEach((id, state) -> requests.addAll(tickOrganisation(id, state, now)));
    }
    return requests;
  }

  private void expire(ClockReading now) {
    table.expire(now);
    if (historySettledAt.isEmpty() && settledOffset.isSettled(historyStartOffset)) {
      historySettledAt = Optional.of(now);
    }
    knowsAllHistory |=
        historySettledAt.map(at -> !now.isBefore(at.plus(CLAIM_WINDOW))).orElse(false);
    organisations
        .values()
        .removeIf(
            state ->
                state
                    .removedAt
                    .map(at -> !now.isBefore(at.plus(REMOVED_ORGANISATION_WINDOW)))
                    .orElse(false));
  }

  private static boolean isDue(Optional<ClockReading> last, Duration interval, ClockReading now) {
    return last.map(at -> !now.isBefore(at.plus(interval))).orElse(true);
  }

  private List<OutboundMessage> tickOrganisation(
      String id, OrganisationClaims state, ClockReading now) {
    int known = state.history.sets().size();
    boolean knownStart = state.history.hasKnownStart();
    state.history.expireSets(settledOffset, now);
    if (state.sync.isPresent()
        && (state.history.sets().size() < known || state.history.hasKnownStart() != knownStart)) {
      resync(state);
    }
    List<OutboundMessage> requests = new ArrayList<>();
    state.sync.ifPresent(
        sync ->
            sync.missingPages()
                .forEach((source, key) -> requests.add(syncRequest(source, id, sync, key))));
    return requests;
  }

  /**
   * Returns whether this instance votes on the claims of an organisation.
   *
   * @param organisation the id of the organisation
   * @return whether it is a holder and has learned all earlier claims
   */
  public boolean isReady(String organisation) {
    return Optional.ofNullable(organisations.get(organisation))
        .map(state -> state.ready)
        .orElse(false);
  }

  /**
   * Returns the number of claims in memory, for metrics.
   *
   * @return the number of claims
   */
  public int claimCount() {
    return table.claimCount();
  }
}
