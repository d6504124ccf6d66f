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
import org.bergamotcross.kernel.Now;

/**
 * Borrows tokens from holders and spends them on requests.
 *
 * <p>Tokens end 1 s after their ask was sent, by the monotonic clock of this instance. Tokens that
 * are not used soon go back to their holder, so that other instances get them.
 *
 * <pre>{@code
 * if (!borrower.take(organisation, now)) {
 *   waitList.offer(...);
 *   borrower.asks(organisation, waitList.waiting(organisation), waitList.patience(organisation, now), now)
 *       .forEach(this::send);
 * }
 * }</pre>
 */
public final class RateBorrower {
  private final InstanceId self;
  private final long incarnation;
  private final Map<OrganisationId, BorrowedTokens> tokens = new HashMap<>();
  private RateShares shares = RateShares.NONE;
  private long asked;

  /**
   * Creates a borrower without tokens.
   *
   * @param self the own instance
   * @param incarnation the incarnation of this process
   */
  public RateBorrower(InstanceId self, long incarnation) {
    this.self = self;
    this.incarnation = incarnation;
  }

  /**
   * Takes a new configuration.
   *
   * @param configuration the configuration
   */
  public void configure(Configuration configuration) {
    shares = new RateShares(configuration);
    tokens.keySet().removeIf(id -> configuration.organisation(id).isEmpty());
    tokens.forEach(
        (id, state) ->
            configuration
                .organisation(id)
                .ifPresent(organisation -> state.configure(organisation, order(id))));
  }

  // The holder in the own failure domain first: it is the nearest one. The others follow in an
  // order that differs between instances, so that no holder gets all asks.
  private List<InstanceId> order(OrganisationId id) {
    Optional<Member> own = shares.configuration().members().find(self);
    List<Member> holders = new ArrayList<>(shares.holders(id));
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
   * Counts a request, so that later tokens are fetched before they are needed.
   *
   * @param id the organisation of the request
   * @param now the present time
   */
  public void noteDemand(OrganisationId id, Now now) {
    state(id).ifPresent(state -> state.noteDemand(now));
  }

  /**
   * Spends one token.
   *
   * @param id the organisation of a request
   * @param now the present time
   * @return whether there was a token, so that the request may run
   */
  public boolean take(OrganisationId id, Now now) {
    return state(id).map(state -> state.take(now)).orElse(false);
  }

  private Optional<BorrowedTokens> state(OrganisationId id) {
    BorrowedTokens state = tokens.get(id);
    if (state != null) {
      return Optional.of(state);
    }
    return shares.configuration().organisation(id).map(this::create);
  }

  private BorrowedTokens create(Organisation organisation) {
    BorrowedTokens state = new BorrowedTokens(organisation, order(organisation.id()));
    tokens.put(organisation.id(), state);
    return state;
  }

  /**
   * Returns the asks that are due for an organisation.
   *
   * @param id the organisation
   * @param waiting the number of requests that wait for a token here
   * @param patience how long the most urgent of them can still wait
   * @param now the present time
   * @return asks to send, each to another holder
   */
  public List<PeerMessage> asks(OrganisationId id, int waiting, Duration patience, Now now) {
    return state(id)
        .map(state -> state.asks(waiting, patience, now, this::message))
        .orElse(List.of());
  }

  private TokenAsk message(
      OrganisationId id,
      double needed,
      double wanted,
      boolean exact,
      long patienceMillis,
      List<TokenAsk.Settlement> done) {
    asked++;
    return new TokenAsk(
        incarnation, asked, id.value(), needed, wanted, exact, patienceMillis, done);
  }

  /**
   * Takes an answer of a holder; repeated, late and foreign answers change nothing.
   *
   * @param from the holder
   * @param grant its answer
   * @param now the present time
   */
  public void onGrant(InstanceId from, TokenGrant grant, Now now) {
    if (grant.incarnation() == incarnation) {
      Optional.ofNullable(tokens.get(new OrganisationId(grant.organisation())))
          .ifPresent(state -> state.onGrant(from, grant, now));
    }
  }

  /**
   * Ends old tokens and asks, and reports what became of tokens.
   *
   * @param now the present time
   * @return reports to send
   */
  public List<PeerMessage> tick(Now now) {
    List<PeerMessage> reports = new ArrayList<>();
    tokens.values().forEach(state -> reports.addAll(state.reports(now, this::message)));
    tokens.values().removeIf(state -> state.isIdle(now));
    return reports;
  }

  /**
   * Gives back all unused tokens, for a planned stop.
   *
   * @param now the present time
   * @return reports to send
   */
  public List<PeerMessage> giveBack(Now now) {
    tokens.values().forEach(BorrowedTokens::giveBackAll);
    List<PeerMessage> reports = new ArrayList<>();
    tokens.values().forEach(state -> reports.addAll(state.reportsNow(now, this::message)));
    return reports;
  }

  /**
   * Returns how many tokens this instance could get at most for requests that wait a given time.
   *
   * @param id the organisation
   * @param seconds the time from now on
   * @param now the present time
   * @return an upper bound
   */
  public double possible(OrganisationId id, double seconds, Now now) {
    return state(id).map(state -> state.possible(seconds, now)).orElse(0.0);
  }

  /**
   * Tells whether any holder serves an organisation, as far as this instance has heard.
   *
   * @param id the organisation
   * @return whether a holder said so when it answered last
   */
  public boolean isServed(OrganisationId id) {
    return state(id).map(BorrowedTokens::isServed).orElse(false);
  }

  /**
   * Tells whether no token and no ask is open.
   *
   * @return whether time alone changes nothing here
   */
  public boolean isIdle() {
    return tokens.values().stream().allMatch(BorrowedTokens::isIdle);
  }
}
