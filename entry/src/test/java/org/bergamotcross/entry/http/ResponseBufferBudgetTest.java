package org.bergamotcross.entry.http;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against buffered responses that together fill the memory of the instance. */
class ResponseBufferBudgetTest {
  @Nested
  class Reservations {
    @Test
    void areRejectedBeyondTheLimitUntilOthersAreReleased() {
      ResponseBufferBudget budget = new ResponseBufferBudget(100);
      assertThat(budget.tryReserve(60)).isTrue();
      assertThat(budget.tryReserve(60)).isFalse();
      assertThat(budget.reservedBytes()).isEqualTo(60);
      budget.release(60);
      assertThat(budget.tryReserve(100)).isTrue();
    }
  }
}
