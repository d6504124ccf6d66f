package org.bergamotcross.entry.duties;

import java.util.Map;
import java.util.function.BiConsumer;
import org.bergamotcross.core.admission.BucketGrant;
import org.bergamotcross.core.admission.BucketRequest;
import org.bergamotcross.core.admission.ClaimOutcome;
import org.bergamotcross.core.admission.ClaimRequest;
import org.bergamotcross.core.admission.ClaimResponse;
import org.bergamotcross.core.admission.ClaimSyncRequest;
import org.bergamotcross.core.admission.ClaimSyncResponse;
import org.bergamotcross.core.admission.TokenGrant;
import org.bergamotcross.core.admission.TokenHandover;
import org.bergamotcross.core.admission.TokenRequest;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.entry.PeerExchange;

/** The names on the wire of the messages about rates and claims. */
final class AdmissionKinds {
  private static final Map<Class<? extends Record>, String> NAMES =
      Map.of(
          TokenRequest.class, "token-ask",
          TokenGrant.class, "token-grant",
          TokenHandover.class, "token-handover",
          ClaimRequest.class, "claim-ask",
          ClaimResponse.class, "claim-answer",
          ClaimOutcome.class, "claim-outcome",
          ClaimSyncRequest.class, "claim-sync",
          ClaimSyncResponse.class, "claim-sync-answer",
          BucketRequest.class, "bucket-ask",
          BucketGrant.class, "bucket-grant");

  private AdmissionKinds() {}

  static String name(Record message) {
    return NAMES.get(message.getClass());
  }

  /** Registers one receiver for all kinds. */
  static void handle(PeerExchange exchange, BiConsumer<InstanceId, Record> receiver) {
    NAMES.forEach((type, name) -> handle(exchange, name, type, receiver));
  }

  private static <T extends Record> void handle(
      PeerExchange exchange, String name, Class<T> type, BiConsumer<InstanceId, Record> receiver) {
    exchange.handle(name, type, (from, message) -> receiver.accept(from.id(), message));
  }
}
