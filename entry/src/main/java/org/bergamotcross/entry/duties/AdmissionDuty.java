package org.bergamotcross.entry.duties;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import org.bergamotcross.core.admission.Refusal;
import org.bergamotcross.core.admission.RequestCheck;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.entry.AdmissionInput;
import org.bergamotcross.entry.AdmittedRequest;
import org.bergamotcross.entry.Broadcasts.Freshness;
import org.bergamotcross.entry.CallerRequest;
import org.bergamotcross.entry.RoutingInput;
import org.bergamotcross.kernel.DutyHandler;
import org.bergamotcross.kernel.Now;
import org.bergamotcross.kernel.Offer;
import org.bergamotcross.kernel.Ring;

/** Admits or refuses each request; all state belongs to the admission thread. */
final class AdmissionDuty implements DutyHandler<AdmissionInput> {
  private static final Duration TICK = Duration.ofSeconds(1);

  private final Supplier<Configuration> configuration;
  private final Supplier<Optional<Freshness>> freshness;
  private final Duration maxTimeout;
  private final Ring<RoutingInput> routing;

  AdmissionDuty(
      Supplier<Configuration> configuration,
      Supplier<Optional<Freshness>> freshness,
      Duration maxTimeout,
      Ring<RoutingInput> routing) {
    this.configuration = configuration;
    this.freshness = freshness;
    this.maxTimeout = maxTimeout;
    this.routing = routing;
  }

  @Override
  public void onMessage(AdmissionInput message, Now now) {
    switch (message) {
      case AdmissionInput.Arrived arrived -> admit(arrived.request(), now);
      // Nothing waits here yet, and no claim is made yet.
      case AdmissionInput.CallerGone ignored -> {}
      case AdmissionInput.ClaimEnded ignored -> {}
      case AdmissionInput.Internal ignored -> {}
    }
  }

  @Override
  public Duration onTick(Now now) {
    return TICK;
  }

  private void admit(CallerRequest request, Now now) {
    switch (requestCheck().check(facts(request), now)) {
      case RequestCheck.Result.Passed passed -> forward(admitted(request, passed));
      case RequestCheck.Result.Refused refused -> request.handle().refuse(refused.refusal());
    }
  }

  private RequestCheck requestCheck() {
    Optional<Now> freshUntil =
        freshness.get().filter(f -> f.source() != Freshness.Source.NONE).map(Freshness::validUntil);
    return new RequestCheck(configuration.get(), freshUntil, maxTimeout);
  }

  private static RequestCheck.Facts facts(CallerRequest request) {
    return new RequestCheck.Facts(
        request.method(), request.path(), request.keys(), request.timeout(), request.receivedAt());
  }

  private static AdmittedRequest admitted(
      CallerRequest request, RequestCheck.Result.Passed passed) {
    return new AdmittedRequest(
        request,
        passed.organisation(),
        passed.key(),
        passed.route(),
        passed.idempotent(),
        false,
        passed.deadline());
  }

  private void forward(AdmittedRequest request) {
    if (routing.offer(new RoutingInput.Admitted(request)) instanceof Offer.Full full) {
      request.request().handle().refuse(new Refusal.Overloaded(full.ring()));
    }
  }
}
