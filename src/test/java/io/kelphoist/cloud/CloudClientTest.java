package io.kelphoist.cloud;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.model.ScaleOutRequest;
import io.kelphoist.model.ScaleOutResult;
import java.util.ArrayDeque;
import java.util.Deque;
import org.junit.jupiter.api.Test;

/** Requests to the cloud that wait for the rate limiter. */
class CloudClientTest {
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
     * Guards against a scale-out request that is sent by a controller that is no longer the leader:
     * it waits for the rate limiter while the process is suspended and loses the leadership. The
     * request must not be sent, and its outcome must be unknown. There is no HTTP client here, so
     * sending a request would throw an exception.
     */
    @Test
    void queuedScaleOutIsSentOnlyWhileLeading() {
        CloudClient cloud = new CloudClient(null, loop, 1, error -> {});
        ScaleOutRequest request = new ScaleOutRequest("r", "g8", "a", false, 1);
        isLeader = false;
        cloud.scaleOut(request, () -> isLeader, this::onResult);
        assertEquals(1, unknownOutcomeCount);
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
        assertEquals(1, unknownOutcomeCount);
        assertEquals(1, timers.size());
        nowSeconds += 25;
        isLeader = false;
        timers.poll().run();
        assertEquals(2, unknownOutcomeCount);
    }
}
