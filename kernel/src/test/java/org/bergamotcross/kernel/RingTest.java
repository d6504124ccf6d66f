package org.bergamotcross.kernel;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against completions that are lost because new work fills the ring. */
class RingTest {
  private final Ring<String> ring = new Ring<>("test", 4);

  @Nested
  class NewWork {
    @Test
    void isRejectedWhenHalfOfTheRingIsInUse() {
      assertThat(ring.offer("a").isAccepted()).isTrue();
      assertThat(ring.offer("b").isAccepted()).isTrue();
      assertThat(ring.offer("c")).isEqualTo(new RingOfferResult.Full("test", 4));
    }
  }

  @Nested
  class Completions {
    // A lost completion would permanently leak a slot of the target.
    @Test
    void areAcceptedWhileNewWorkIsRejected() {
      ring.offer("a");
      ring.offer("b");
      assertThat(ring.offer("c").isAccepted()).isFalse();
      assertThat(ring.offerReserved("done").isAccepted()).isTrue();
    }

    @Test
    void areRejectedWhenTheWholeRingIsInUse() {
      for (int i = 0; i < 4; i++) {
        ring.offerReserved("m");
      }
      assertThat(ring.offerReserved("m")).isEqualTo(new RingOfferResult.Full("test", 4));
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
