package org.bergamotcross.kernel;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RingTest {
  private final Ring<String> ring = new Ring<>("test", 4);

  @Nested
  class NewWork {
    @Test
    void isRefusedWhenHalfOfTheRingIsInUse() {
      assertThat(ring.offer("a").isAccepted()).isTrue();
      assertThat(ring.offer("b").isAccepted()).isTrue();
      assertThat(ring.offer("c")).isEqualTo(new OfferResult.Full("test", 4));
    }
  }

  @Nested
  class Completions {
    // A completion that is lost would leak the slot of a target for ever.
    @Test
    void findRoomWhileNewWorkIsRefused() {
      ring.offer("a");
      ring.offer("b");
      assertThat(ring.offer("c").isAccepted()).isFalse();
      assertThat(ring.offerReserved("done").isAccepted()).isTrue();
    }

    @Test
    void areRefusedWhenTheWholeRingIsInUse() {
      for (int i = 0; i < 4; i++) {
        ring.offerReserved("m");
      }
      assertThat(ring.offerReserved("m")).isEqualTo(new OfferResult.Full("test", 4));
    }
  }

  @Nested
  class Polling {
    @Test
    void returnsMessagesInOrder() throws InterruptedException {
      ring.offer("a");
      ring.offer("b");
      assertThat(ring.poll(Duration.ZERO)).hasValue("a");
      assertThat(ring.poll(Duration.ZERO)).hasValue("b");
      assertThat(ring.poll(Duration.ZERO)).isEmpty();
    }
  }
}
