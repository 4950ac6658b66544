package io.kelphoist.scheduler.heartbeats;

import io.kelphoist.model.WorkerCommand;
import io.kelphoist.scheduler.spi.PendingResponse;
import io.kelphoist.scheduler.spi.SentStarts;
import java.util.List;

/** A response without commands, which is due at once. */
enum EmptyResponse implements PendingResponse {
    /** The only one, as it has no state. */
    INSTANCE;

    @Override
    public boolean isDue(Hold hold, double nowSeconds) {
        return true;
    }

    @Override
    public List<WorkerCommand> takeCommands(SentStarts sentStarts, double nowSeconds) {
        return List.of();
    }
}
