package io.kelphoist.failover;

import io.kelphoist.failover.SimulationCounters.Counter;
import java.util.ArrayList;
import java.util.List;

/**
 * Delivers direct commands that a worker executed and answered once more. A copy is also delivered
 * to a worker that has restarted. Nobody receives the response to a copy.
 */
final class CommandCopies {
    private final SimulationContext context;
    private final List<CommandDelivery> executed = new ArrayList<>();

    CommandCopies(SimulationContext context) {
        this.context = context;
    }

    /** Called when a worker has executed a request, and its response is on the way. */
    void onExecuted(CommandDelivery delivery) {
        executed.add(delivery);
    }

    /** Delivers a copy of every request that was executed in this run until now. */
    void deliverAllAgain() {
        List.copyOf(executed).forEach(this::deliver);
    }

    private void deliver(CommandDelivery delivery) {
        SimulatedWorker worker = delivery.worker();
        if (!worker.isTerminated()
                && !worker.isPartitioned()
                && !worker.isInboundBlocked()
                && delivery.deliverCopy()) {
            context.counters().increment(Counter.COMMAND_COPIES_EXECUTED);
        }
    }
}
