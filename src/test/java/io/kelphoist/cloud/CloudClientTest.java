package io.kelphoist.cloud;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.model.ScaleOutRequest;
import io.kelphoist.model.ScaleOutResult;
import java.util.ArrayDeque;
import java.util.Deque;
import org.junit.jupiter.api.Test;

/** Scale-out requests of a controller that is no longer the leader, with and without a wait. */
class CloudClientTest {
    /** Scheduled tasks in the order in which they were scheduled; their delays are ignored. */
    private final Deque<Runnable> timers = new ArrayDeque<>();

    private double nowSeconds = 100;
    private boolean isLeader = true;
    private int unknownOutcomeCount;

    private final EventLoop loop =
            new EventLoop() {
                @Override
                public double nowSeconds() {
                    return nowSeconds;
                }

                @Override
                public void schedule(double delaySeconds, Runnable task) {
                    timers.add(task);
                }
            };

    private void onResult(ScaleOutResult result) {
        assertEquals(new ScaleOutResult.Unknown(), result);
        unknownOutcomeCount++;
    }

    /**
     * Guards against a scale-out request that is sent by a controller that is no longer the leader.
     * The first request is made when the controller does not lead. The second one is made while it
     * leads, and waits for the rate limiter; meanwhile the process is suspended, and the controller
     * loses the leadership. Neither request may be sent, and both outcomes must be unknown. There
     * is no HTTP client here, so sending a request would throw an exception.
     */
    @Test
    void scaleOutIsNotSentByFormerLeader() {
        CloudClient cloud =
                new CloudClient(
                        /* httpClient= */ null, loop, /* requestsPerSecond= */ 1, error -> {});
        ScaleOutRequest request =
                new ScaleOutRequest(
                        "r",
                        /* machineType= */ "g8",
                        /* zone= */ "a",
                        /* spot= */ false,
                        /* machineCount= */ 1);
        isLeader = false;
        cloud.scaleOut(request, () -> isLeader, this::onResult);
        assertEquals(1, unknownOutcomeCount, "unknown outcomes while not leading");
        isLeader = true;
        // These requests use up the tokens of the rate limiter, so that the next one has to wait.
        for (int i = 0; i < 10; i++) {
            try {
                cloud.listMachineTypes(list -> {});
            } catch (NullPointerException e) {
                // The token was acquired; sending fails, because there is no HTTP client.
            }
        }
        cloud.scaleOut(request, () -> isLeader, this::onResult);
        assertEquals(1, unknownOutcomeCount, "unknown outcomes while the second request waits");
        assertEquals(1, timers.size(), "requests that wait for the rate limiter");
        nowSeconds += 25;
        isLeader = false;
        timers.poll().run();
        assertEquals(2, unknownOutcomeCount, "unknown outcomes after the loss of leadership");
    }
}
