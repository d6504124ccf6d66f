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

/** Maps message types about rates and claims to their kinds on the wire. */
final class AdmissionMessageKinds {
  private static final Map<Class<? extends Record>, String> KINDS =
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

  private AdmissionMessageKinds() {}

  static String kindOf(Record message) {
    return KINDS.get(message.getClass());
  }

  /** Registers one handler for all kinds. */
  static void registerHandler(PeerExchange exchange, BiConsumer<InstanceId, Record> handler) {
    KINDS.forEach((type, kind) -> registerHandler(exchange, kind, type, handler));
  }

  private static <T extends Record> void registerHandler(
      PeerExchange exchange, String kind, Class<T> type, BiConsumer<InstanceId, Record> handler) {
    exchange.handle(kind, type, (from, message) -> handler.accept(from.id(), message));
  }
}
