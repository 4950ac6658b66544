package io.kelphoist.scheduler.heartbeats;

import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.spi.PromotionGate;
import io.kelphoist.scheduler.spi.SchedulerOutput;

/**
 * Sends reachability probes: direct requests to a worker for a heartbeat, which show whether the
 * worker receives requests and whether it has restarted. At most one probe per machine is in
 * flight.
 */
public final class MachineProber {
    private final PromotionGate promotionGate;
    private final SchedulerOutput output;

    /** Creates a prober that sends nothing until the gate allows decisions. */
    public MachineProber(PromotionGate promotionGate, SchedulerOutput output) {
        this.promotionGate = promotionGate;
        this.output = output;
    }

    /**
     * Probes the machine unless a probe of it is in flight or was sent less than the minimum time
     * between two probes ago, its address is unknown, or decisions are not allowed yet.
     */
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
