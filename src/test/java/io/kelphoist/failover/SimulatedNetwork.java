package io.kelphoist.failover;

import io.kelphoist.scheduler.reachability.DeliveryOutcome;
import java.util.ArrayList;
import java.util.List;

/** Requests on their way to workers, and outcomes that leaders learn in the next step. */
final class SimulatedNetwork {
    /** One of so many requests that could not be delivered is dropped in a step. */
    private static final int MEAN_STEPS_PER_DROP = 400;

    private final SimulationContext context;
    private final SafetyChecker checker;
    private final List<CommandDelivery> deliveries = new ArrayList<>();
    private final List<Runnable> nextStepOutcomes = new ArrayList<>();

    SimulatedNetwork(SimulationContext context, SafetyChecker checker) {
        this.context = context;
        this.checker = checker;
    }

    void send(CommandDelivery delivery) {
        deliveries.add(delivery);
    }

    void onNextStep(Runnable outcome) {
        nextStepOutcomes.add(outcome);
    }

    /** Requests on their way to a worker that restarts are lost with their connections. */
    void dropConnectionsTo(SimulatedWorker worker) {
        deliveries.stream()
                .filter(delivery -> delivery.worker() == worker)
                .forEach(CommandDelivery::markLost);
    }

    /**
     * @param lateOfTen how many of ten requests are held back for another step
     */
    void deliver(int lateOfTen) {
        for (CommandDelivery delivery : new ArrayList<>(deliveries)) {
            if (delivery.isTimedOut(context.nowSeconds())) {
                delivery.complete(DeliveryOutcome.NO_RESPONSE, null);
            }
            deliver(delivery, lateOfTen);
        }
    }

    private void deliver(CommandDelivery delivery, int lateOfTen) {
        SimulatedWorker worker = delivery.worker();
        if (worker.isTerminated() || delivery.isLost()) {
            deliveries.remove(delivery);
            delivery.complete(
                    delivery.isLost() ? DeliveryOutcome.NO_RESPONSE : DeliveryOutcome.NOT_SENT,
                    null);
        } else if (!worker.isPartitioned()
                && !worker.isInboundBlocked()
                && context.random().nextInt(10) >= lateOfTen) {
            deliveries.remove(delivery);
            delivery.deliver(checker);
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
