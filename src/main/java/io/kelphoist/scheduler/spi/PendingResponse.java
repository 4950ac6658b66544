package io.kelphoist.scheduler.spi;

import io.kelphoist.model.WorkerCommand;
import java.util.List;

/**
 * The response to a heartbeat that was applied, while its worker waits for it. Since starts are
 * sent in such responses alone, the response of a machine with free resources may be held for a
 * while: a start that is decided meanwhile need not wait for the next heartbeat.
 */
public interface PendingResponse {
    /** For how long a response may be held. */
    enum Hold {
        /** Until the starts that are decided because of the heartbeat are stored. */
        BRIEF,
        /** Also for starts that are decided later. */
        LONG
    }

    /** Whether the response should be sent now, and not be held any longer. */
    boolean isDue(Hold hold, double nowSeconds);

    /**
     * Returns the commands for the response, in the order in which the worker must execute them,
     * marks them as sent and counts the starts. Called once, when the response is sent.
     */
    List<WorkerCommand> takeCommands(SentStarts sentStarts, double nowSeconds);
}
