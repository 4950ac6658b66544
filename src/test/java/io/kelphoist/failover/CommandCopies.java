package io.kelphoist.failover;

import io.kelphoist.failover.SimulationCounters.Counter;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Delivers direct commands that a worker executed and answered once more, from a moment to minutes
 * later. A copy waits while its machine cannot be reached, and is also delivered to a worker that
 * has restarted. Nobody receives the response to a copy.
 */
final class CommandCopies {
    /** One of this many commands that were executed is also delivered as a copy, on average. */
    private static final int MEAN_COMMANDS_PER_COPY = 2;

    private static final double MIN_DELAY_SECONDS = 0.1;
    private static final double MAX_DELAY_SECONDS = 120;

    /** A copy and its arrival time. */
    private record Copy(CommandDelivery delivery, double atSeconds) {}

    private final SimulationContext context;

    /** Apart from the run's generator, so that copies change none of its draws. */
    private final Random random;

    private final List<CommandDelivery> executed = new ArrayList<>();
    private List<Copy> copies = new ArrayList<>();

    CommandCopies(SimulationContext context, long seed) {
        this.context = context;
        random = new Random(seed);
    }

    /** Called when a worker has executed a request, and its response is on the way. */
    void onExecuted(CommandDelivery delivery) {
        executed.add(delivery);
        if (random.nextInt(MEAN_COMMANDS_PER_COPY) == 0) {
            copies.add(new Copy(delivery, context.nowSeconds() + drawDelaySeconds()));
        }
    }

    /** As many delays are between 0.1 and 1 s as between 1 and 10 s. */
    private double drawDelaySeconds() {
        double exponent = random.nextDouble() * Math.log(MAX_DELAY_SECONDS / MIN_DELAY_SECONDS);
        return MIN_DELAY_SECONDS * Math.exp(exponent);
    }

    /** Delivers a copy of every request that was executed in this run until now. */
    void deliverAllAgain() {
        List.copyOf(executed).forEach(this::deliver);
    }

    /** Delivers the copies that are due. */
    void deliverDue() {
        List<Copy> waiting = new ArrayList<>();
        for (Copy copy : copies) {
            if (context.nowSeconds() < copy.atSeconds() || !deliver(copy.delivery())) {
                waiting.add(copy);
            }
        }
        copies = waiting;
    }

    /** Returns false if the copy must wait until its machine can be reached. */
    private boolean deliver(CommandDelivery delivery) {
        SimulatedWorker worker = delivery.worker();
        if (worker.isTerminated()) {
            return true;
        }
        if (worker.isPartitioned() || worker.isInboundBlocked()) {
            return false;
        }
        if (delivery.deliverCopy()) {
            context.counters().increment(Counter.COMMAND_COPIES_EXECUTED);
        }
        return true;
    }
}
