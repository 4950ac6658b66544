package io.kelphoist.failover;

import io.kelphoist.scheduler.reachability.DeliveryOutcome;
import java.util.ArrayList;
import java.util.List;

/** Requests in flight to workers, and outcomes that are reported to leaders in the next step. */
final class SimulatedNetwork {
    /**
     * In each step, one of this many requests that could not be delivered is dropped, on average.
     */
    private static final int MEAN_STEPS_PER_DROP = 400;

    private final SimulationContext context;
    private final SimulationChecker checker;
    private final CommandCopies copies;
    private final List<CommandDelivery> deliveries = new ArrayList<>();
    private final List<Runnable> nextStepOutcomes = new ArrayList<>();

    SimulatedNetwork(SimulationContext context, SimulationChecker checker, CommandCopies copies) {
        this.context = context;
        this.checker = checker;
        this.copies = copies;
    }

    void send(CommandDelivery delivery) {
        deliveries.add(delivery);
    }

    void onNextStep(Runnable outcome) {
        nextStepOutcomes.add(outcome);
    }

    /**
     * Drops the requests in flight to a worker that restarts, because its connections are closed.
     */
    void dropConnectionsTo(SimulatedWorker worker) {
        deliveries.stream()
                .filter(delivery -> delivery.worker() == worker)
                .forEach(CommandDelivery::markLost);
    }

    /**
     * Delivers requests, and reports those that have timed out.
     *
     * @param delayedPerTen how many of ten requests are delayed by a step
     */
    void deliver(int delayedPerTen) {
        for (CommandDelivery delivery : new ArrayList<>(deliveries)) {
            if (delivery.isTimedOut(context.nowSeconds())) {
                delivery.complete(DeliveryOutcome.NO_RESPONSE, null);
            }
            deliver(delivery, delayedPerTen);
        }
        copies.deliverDue();
    }

    private void deliver(CommandDelivery delivery, int delayedPerTen) {
        SimulatedWorker worker = delivery.worker();
        if (worker.isTerminated() || delivery.isLost()) {
            deliveries.remove(delivery);
            delivery.complete(
                    delivery.isLost() ? DeliveryOutcome.NO_RESPONSE : DeliveryOutcome.NOT_SENT,
                    null);
        } else if (!worker.isPartitioned()
                && !worker.isInboundBlocked()
                && context.random().nextInt(10) >= delayedPerTen) {
            deliveries.remove(delivery);
            delivery.deliver(checker, copies);
        } else if (context.random().nextInt(MEAN_STEPS_PER_DROP) == 0) {
            deliveries.remove(delivery);
            delivery.complete(DeliveryOutcome.NO_RESPONSE, null);
        }
    }

    void reportOutcomes() {
        List<Runnable> outcomes = new ArrayList<>(nextStepOutcomes);
        nextStepOutcomes.clear();
        outcomes.forEach(Runnable::run);
    }
}
