package io.kelphoist.scheduler.heartbeats;

import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.spi.PromotionGate;
import io.kelphoist.scheduler.spi.SchedulerOutput;

/**
 * Sends probes: requests for a heartbeat straight to a worker, which show whether it receives what
 * is sent to it, and whether it has restarted. One probe per machine is under way at a time.
 */
public final class MachineProber {
    private final PromotionGate promotionGate;
    private final SchedulerOutput output;

    /** Creates a prober, which sends nothing until decisions are allowed. */
    public MachineProber(PromotionGate promotionGate, SchedulerOutput output) {
        this.promotionGate = promotionGate;
        this.output = output;
    }

    /** Probes the machine unless that was done a moment ago, or is not possible yet. */
    void probeIfDue(Machine machine, double nowSeconds) {
        if (machine.address() != null
                && promotionGate.maySchedule(nowSeconds)
                && machine.reachability().isProbeDue(nowSeconds)) {
            machine.reachability()
                    .onProbeSent(
                            machine.contact().agentEpoch(),
                            machine.contact().sequenceNumber(),
                            machine.contact().isTermConfirmed(),
                            nowSeconds);
            output.probe(machine);
        }
    }
}
