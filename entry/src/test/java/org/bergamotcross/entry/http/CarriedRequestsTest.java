package org.bergamotcross.entry.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against a connection that carries a request id twice, or remembers ids without a bound.
 */
class CarriedRequestsTest {
  private final CarriedRequests carried = new CarriedRequests();

  @Nested
  class Contents {
    @Test
    void areTheRecordedIds() {
      carried.add("a");
      carried.add("b");
      assertThat(carried.mayContain("a")).isTrue();
      assertThat(carried.mayContain("b")).isTrue();
      assertThat(carried.mayContain("c")).isFalse();
    }
  }

  @Nested
  class Capacity {
    @Test
    void isBounded() {
      for (int i = 0; i < CarriedRequests.CAPACITY; i++) {
        assertThat(carried.isFull()).isFalse();
        carried.add("r" + i);
      }
      assertThat(carried.isFull()).isTrue();
      assertThat(carried.mayContain("r0")).isTrue();
      assertThat(carried.mayContain("r255")).isTrue();
      assertThrows(IllegalStateException.class, () -> carried.add("one too many"));
    }
  }
}
