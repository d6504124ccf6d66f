package org.bergamotcross.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.Organisation;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.kernel.ClockReading;

/**
 * Borrows tokens from holders and spends them on admitted requests.
 *
 * <p>Tokens expire 1 s after their request was sent, by the monotonic clock of this instance.
 * Tokens that stay unused are returned to their holder early, so that other instances can use them.
 *
 * <pre>{@code
 * if (!borrower.takeToken(organisation, now)) {
 *   waitQueue.offer(...);
 *   borrower.dueRequests(organisation, waiting, maxRemainingWait, now)
 *       .forEach(this::send);
 * }
 * }</pre>
 */
public final class TokenBorrower {
  private final InstanceId self;
  private final long incarnation;
  private final Map<OrganisationId, BorrowedTokens> tokensByOrganisation = new HashMap<>();
  private HolderAssignment assignment = HolderAssignment.NONE;
  private long lastRequestNumber;

  /**
   * Creates a borrower without tokens.
   *
   * @param self the id of this instance
   * @param incarnation the incarnation of this process
   */
  public TokenBorrower(InstanceId self, long incarnation) {
    this.self = self;
    this.incarnation = incarnation;
  }

  /**
   * Applies a new configuration.
   *
   * @param configuration the configuration
   */
  public void configure(Configuration configuration) {
    assignment = new HolderAssignment(configuration);
    tokensByOrganisation.keySet().removeIf(id -> configuration.organisation(id).isEmpty());
    tokensByOrganisation.forEach(
        (id, state) ->
            configuration
                .organisation(id)
                .ifPresent(organisation -> state.configure(organisation, holderOrder(id))));
  }

  // A holder in this instance's failure domain comes first, because it is the nearest. The others
  // follow in an order that differs between instances, to spread the requests over the holders.
  private List<InstanceId> holderOrder(OrganisationId id) {
    Optional<Member> own = assignment.configuration().members().find(self);
    List<Member> holders = new ArrayList<>(assignment.holders(id));
    if (!holders.isEmpty()) {
      Collections.rotate(holders, Math.floorMod(self.hashCode(), holders.size()));
    }
    holders.sort(
        Comparator.comparingInt(
            (Member member) ->
                own.map(o -> o.failureDomain().equals(member.failureDomain())).orElse(false)
                    ? 0
                    : 1));
    return holders.stream().map(Member::id).toList();
  }

  /**
   * Records a request in the demand estimate, which determines how many tokens are prefetched.
   *
   * @param id the organisation of the request
   * @param now the current time
   */
  public void recordDemand(OrganisationId id, ClockReading now) {
    state(id).ifPresent(state -> state.recordDemand(now));
  }

  /**
   * Spends one token.
   *
   * @param id the organisation of the request
   * @param now the current time
   * @return whether a token was available, so that the request may run
   */
  public boolean takeToken(OrganisationId id, ClockReading now) {
    return state(id).map(state -> state.takeToken(now)).orElse(false);
  }

  private Optional<BorrowedTokens> state(OrganisationId id) {
    BorrowedTokens state = tokensByOrganisation.get(id);
    if (state != null) {
      return Optional.of(state);
    }
    return assignment.configuration().organisation(id).map(this::create);
  }

  private BorrowedTokens create(Organisation organisation) {
    BorrowedTokens state = new BorrowedTokens(organisation, holderOrder(organisation.id()));
    tokensByOrganisation.put(organisation.id(), state);
    return state;
  }

  /**
   * Returns the token requests that are due for an organisation.
   *
   * @param id the organisation
   * @param waiting the number of requests that wait for a token on this instance
   * @param patience how long the most urgent of them can still wait
   * @param now the current time
   * @return token requests to send, each to a different holder
   */
  public List<OutboundMessage> dueRequests(
      OrganisationId id, int waiting, Duration patience, ClockReading now) {
    return state(id)
        .map(state -> state.dueRequests(waiting, patience, now, this::newRequest))
        .orElse(List.of());
  }

  private TokenRequest newRequest(
      OrganisationId id,
      double needed,
      double wanted,
      boolean exact,
      long patienceMillis,
      List<TokenRequest.Settlement> done) {
    lastRequestNumber++;
    return new TokenRequest(
        incarnation, lastRequestNumber, id.value(), needed, wanted, exact, patienceMillis, done);
  }

  /**
   * Processes a grant; duplicate, late and unrelated grants are ignored.
   *
   * @param from the holder
   * @param grant its grant
   * @param now the current time
   */
  public void onGrant(InstanceId from, TokenGrant grant, ClockReading now) {
    if (grant.incarnation() == incarnation) {
      Optional.ofNullable(tokensByOrganisation.get(new OrganisationId(grant.organisation())))
          .ifPresent(state -> state.onGrant(from, grant, now));
    }
  }

  /**
   * Expires old tokens and requests, and reports used and returned tokens to their holders.
   *
   * @param now the current time
   * @return reports to send
   */
  public List<OutboundMessage> tick(ClockReading now) {
    List<OutboundMessage> reports = new ArrayList<>();
    tokensByOrganisation
        .values()
        .forEach(state -> reports.addAll(state.dueReports(now, this::newRequest)));
    tokensByOrganisation.values().removeIf(state -> state.isIdle(now));
    return reports;
  }

  /**
   * Returns all unused tokens ahead of a planned stop.
   *
   * @param now the current time
   * @return reports to send
   */
  public List<OutboundMessage> returnUnused(ClockReading now) {
    tokensByOrganisation.values().forEach(BorrowedTokens::returnAll);
    List<OutboundMessage> reports = new ArrayList<>();
    tokensByOrganisation
        .values()
        .forEach(state -> reports.addAll(state.pendingReports(now, this::newRequest)));
    return reports;
  }

  /**
   * Returns the maximum number of tokens that this instance could obtain within a given time.
   *
   * @param id the organisation
   * @param seconds the time from now on
   * @param now the current time
   * @return an upper bound
   */
  public double maxTokensWithin(OrganisationId id, double seconds, ClockReading now) {
    return state(id).map(state -> state.maxTokensWithin(seconds, now)).orElse(0.0);
  }

  /**
   * Returns whether any holder serves an organisation, by the latest grant of each.
   *
   * @param id the organisation
   * @return whether the latest grant of some holder says so
   */
  public boolean isServed(OrganisationId id) {
    return state(id).map(BorrowedTokens::isServed).orElse(false);
  }

  /**
   * Returns whether there are no borrowed tokens and no outstanding requests.
   *
   * @return whether nothing changes here as time passes
   */
  public boolean isIdle() {
    return tokensByOrganisation.values().stream().allMatch(BorrowedTokens::isIdle);
  }
}
