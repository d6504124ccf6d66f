package org.bergamotcross.core.routing;

import static com.google.common.truth.Truth.assertThat;

import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.kernel.ClockReading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class WaitQueueTest {
  private static final OrganisationId LARGE = new OrganisationId("team/large");
  private static final OrganisationId SMALL = new OrganisationId("team/small");

  private final WaitQueue<String> queue = new WaitQueue<>(8);

  private WaitQueue.OfferResult offer(String id, OrganisationId organisation, long deadline) {
    return queue.offer(id, organisation, ClockReading.ofMillis(deadline), id);
  }

  @Nested
  class Order {
    // Guards against requests that expire while others with a later deadline are served first.
    @Test
    void isByDeadlineThenByArrival() {
      offer("late", LARGE, 30);
      offer("first", SMALL, 10);
      offer("second", SMALL, 10);
      assertThat(queue.nextDeadline()).hasValue(ClockReading.ofMillis(10));
      assertThat(queue.peek()).hasValue("first");
      assertThat(queue.poll()).hasValue("first");
      assertThat(queue.poll()).hasValue("second");
      assertThat(queue.poll()).hasValue("late");
      assertThat(queue.poll()).isEmpty();
    }
  }

  @Nested
  class OrganisationLimit {
    // Guards against one organisation that fills the queue and crowds out the others.
    @Test
    void isAQuarterOfTheQueue() {
      offer("a", LARGE, 10);
      offer("b", LARGE, 10);
      assertThat(offer("c", LARGE, 10)).isEqualTo(new WaitQueue.OfferResult.ShareExhausted());
      assertThat(offer("d", SMALL, 10)).isEqualTo(new WaitQueue.OfferResult.Queued());
      queue.poll();
      assertThat(offer("e", LARGE, 10)).isEqualTo(new WaitQueue.OfferResult.Queued());
    }

    @Test
    void doesNotExceedTheCapacity() {
      for (int i = 0; i < 8; i++) {
        offer("r" + i, new OrganisationId("team/" + i), 10);
      }
      assertThat(offer("more", SMALL, 10)).isEqualTo(new WaitQueue.OfferResult.QueueFull());
    }
  }

  @Nested
  class Removal {
    // Guards against requests whose callers have stopped waiting, and against leaked queue shares.
    @Test
    void takesExpiredRequests() {
      offer("a", LARGE, 10);
      offer("b", LARGE, 11);
      assertThat(queue.removeExpired(ClockReading.ofMillis(9))).isEmpty();
      assertThat(queue.removeExpired(ClockReading.ofMillis(10))).containsExactly("a");
      assertThat(offer("c", LARGE, 20)).isEqualTo(new WaitQueue.OfferResult.Queued());
    }

    // Guards against requests that run with a withdrawn key because they were already queued.
    @Test
    void takesRequestsByIdAndByCondition() {
      offer("a", LARGE, 10);
      offer("b", SMALL, 11);
      assertThat(queue.remove("a")).hasValue("a");
      assertThat(queue.remove("a")).isEmpty();
      assertThat(queue.removeMatching(id -> id.equals("b"))).containsExactly("b");
      assertThat(queue.size()).isEqualTo(0);
    }
  }
}
