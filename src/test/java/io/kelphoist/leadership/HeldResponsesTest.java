package io.kelphoist.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.kelphoist.metrics.ControllerCounters;
import io.kelphoist.model.HeartbeatResponse;
import io.kelphoist.model.WorkerCommand;
import io.kelphoist.scheduler.spi.PendingResponse;
import io.kelphoist.scheduler.spi.SentStarts;
import io.kelphoist.statestore.StateStoreSimulation;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class HeldResponsesTest {
    private static final long TERM = 3;
    private static final List<WorkerCommand> START =
            List.of(new WorkerCommand.Start("job-1", /* taskIndex= */ 0, /* attemptId= */ 1));

    /** Becomes due after a time, and then has a start. */
    private static final class StubResponse implements PendingResponse {
        private final double dueAtSeconds;
        private boolean taken;

        StubResponse(double dueAtSeconds) {
            this.dueAtSeconds = dueAtSeconds;
        }

        @Override
        public boolean isDue(Hold hold, double nowSeconds) {
            return nowSeconds >= dueAtSeconds;
        }

        @Override
        public List<WorkerCommand> takeCommands(SentStarts sentStarts, double nowSeconds) {
            taken = true;
            sentStarts.onStartSent(/* secondsSinceDecision= */ 0.5);
            return START;
        }
    }

    private final StateStoreSimulation loop =
            new StateStoreSimulation(/* seed= */ 1, /* startSeconds= */ 0);
    private final ControllerCounters counters = new ControllerCounters();
    private final List<Optional<HeartbeatResponse>> responses = new ArrayList<>();
    private boolean mayRespond = true;
    private final HeldResponses heldResponses =
            new HeldResponses(TERM, loop, () -> mayRespond, counters);

    @Test
    void responseIsSentWhenItIsDue() {
        respond(new StubResponse(1));
        loop.advance(0.9);
        assertEquals(List.of(), responses);
        assertEquals(1, heldResponses.size());
        loop.advance(0.2);
        assertEquals(List.of(Optional.of(new HeartbeatResponse(TERM, START))), responses);
        assertEquals(0, heldResponses.size());
        assertEquals(1, counters.startsSent());
        assertEquals(0.5, counters.startWaitSeconds(), 1e-9);
    }

    /** Guards against starts by a leader that may not act any more when the response is sent. */
    @Test
    void responseIsRefusedIfTheLeaderMayNoLongerRespond() {
        StubResponse response = new StubResponse(1);
        respond(response);
        mayRespond = false;
        loop.advance(2);
        assertEquals(List.of(Optional.empty()), responses);
        assertFalse(response.taken, "commands of a refused response must not count as sent");
    }

    /** Guards against workers that wait for a response although the term has ended. */
    @Test
    void endOfTheTermRefusesWhatIsHeld() {
        respond(new StubResponse(1));
        respond(new StubResponse(2));
        heldResponses.close();
        assertEquals(List.of(Optional.empty(), Optional.empty()), responses);
        loop.advance(3);
        assertEquals(2, responses.size());
    }

    /** Guards against responses that are lost with another one whose connection fails. */
    @Test
    void failureOfOneResponseLosesNoOtherOne() {
        heldResponses.respond(
                new StubResponse(1),
                PendingResponse.Hold.LONG,
                response -> {
                    throw new IllegalStateException("connection failed");
                });
        respond(new StubResponse(1));
        respond(new StubResponse(2));
        assertThrows(IllegalStateException.class, () -> loop.advance(1.1));
        assertEquals(1, responses.size());
        loop.advance(2);
        assertEquals(2, responses.size());
    }

    private void respond(StubResponse response) {
        heldResponses.respond(response, PendingResponse.Hold.LONG, responses::add);
    }
}
