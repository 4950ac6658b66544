package io.kelphoist.failover;

import io.kelphoist.model.Heartbeat;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.reachability.DeliveryOutcome;
import io.kelphoist.scheduler.spi.PromotionGate;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The failover of one term: from the election of this controller to its first decision.
 *
 * <p>Before a leader decides it must know what runs where. Instead of waiting for one round of
 * regular heartbeats it requests one from each known machine, under the fencing token of its term;
 * from its answer on the machine refuses whatever an earlier leader sent. A machine that does not
 * answer counts with all that is recorded for it until its lease has certainly expired. So
 * decisions rest on records and on such heartbeats alone; which machines to ask is only a hint.
 *
 * <p>Owns the state of the failover and of the heartbeat requests. Pure: events and times, in
 * seconds of the event loop's clock, come in as arguments; confined to one thread.
 */
public final class Failover implements PromotionGate {
    /** The states, in their order; only {@link #transitionTo} changes them. */
    public enum State {
        /** The records are being read, or verified to be current. */
        LOADING_RECORDS,
        /** Heartbeats are being requested from machines. */
        REQUESTING_STATUS,
        /** The leader may decide. */
        ACTIVE
    }

    /** Sends heartbeat requests; the outcome of each goes to {@link #onStatusRequestOutcome}. */
    public interface StatusRequester {
        /**
         * Requests a heartbeat.
         *
         * @param agentEpoch the epoch of the machine's agent as far as it is known, otherwise 0
         */
        void requestStatus(Machine machine, long agentEpoch);
    }

    /** How far the request to one machine is. */
    private enum RequestState {
        NOT_SENT,
        IN_FLIGHT,
        RESPONDED,
        FAILED
    }

    /** The request to one machine, with its retries. */
    private static final class StatusRequest {
        private RequestState state = RequestState.NOT_SENT;
        private long agentEpoch;
        private int sentCount;

        void onSent() {
            state = RequestState.IN_FLIGHT;
            sentCount++;
        }

        void onResponded() {
            state = RequestState.RESPONDED;
        }

        void onFailed() {
            state = RequestState.FAILED;
        }

        /** The agent has another epoch than was named, and so did not look at the token. */
        void onEpochMismatch(long answeredEpoch) {
            agentEpoch = answeredEpoch;
            state = RequestState.NOT_SENT;
        }

        void onNotAttempted() {
            sentCount--;
            state = RequestState.NOT_SENT;
        }

        boolean canResend() {
            return sentCount < MAX_REQUESTS_PER_MACHINE;
        }
    }

    private static final Logger LOG = LoggerFactory.getLogger(Failover.class);

    /** After so many requests with a wrong epoch the machine's regular heartbeat must do. */
    private static final int MAX_REQUESTS_PER_MACHINE = 3;

    private static final double HUNDREDTHS_PER_SECOND = 100.0;

    private final long term;
    private final double startedAtSeconds;
    private final double timeoutSeconds;
    private final double listLagSeconds;

    /** 0 if no heartbeats are requested. */
    private final int maxInFlight;

    private final StatusRequester statusRequester;
    private final Map<String, StatusRequest> requests = new HashMap<>();
    private final EnumMap<PromotionCheck, Double> passTimes = new EnumMap<>(PromotionCheck.class);
    private State state = State.LOADING_RECORDS;
    private int inFlight;

    /** The cloud or the previous leader has told which machines there are. */
    private boolean machineListLoaded;

    /** An earlier leader has started tasks that may still run. */
    private boolean foundOutstandingStarts;

    /** The replica of the previous leader's machines was complete. */
    private boolean warmStandby;

    /**
     * Starts the failover of a term.
     *
     * @param timeoutSeconds how long machines are waited for at most: one round of heartbeats
     * @param listLagSeconds how late the cloud's instance list usually is at most
     * @param maxInFlight requests without an answer at a time, which paces them and the heartbeats
     *     that follow; 0 if none are sent and regular heartbeats are waited for
     */
    public Failover(
            long term,
            double timeoutSeconds,
            double listLagSeconds,
            int maxInFlight,
            StatusRequester heartbeatRequester,
            double nowSeconds) {
        this.term = term;
        this.startedAtSeconds = nowSeconds;
        this.timeoutSeconds = timeoutSeconds;
        this.listLagSeconds = listLagSeconds;
        this.maxInFlight = maxInFlight;
        this.statusRequester = heartbeatRequester;
        markPassed(PromotionCheck.LEADERSHIP, "", nowSeconds);
    }

    /** The current state. */
    public State state() {
        return state;
    }

    /** Seconds from the start of the term until a check passed; NaN if it has not. */
    public double secondsUntilPassed(PromotionCheck check) {
        Double passedAtSeconds = passTimes.get(check);
        return passedAtSeconds == null ? Double.NaN : passedAtSeconds - startedAtSeconds;
    }

    private void transitionTo(State next) {
        state = next;
    }

    private void markPassed(PromotionCheck check, String detail, double nowSeconds) {
        if (passTimes.putIfAbsent(check, nowSeconds) == null) {
            LOG.info(
                    "promotion check passed: term={} check={} afterSeconds={}{}",
                    term,
                    check,
                    roundToHundredths(nowSeconds - startedAtSeconds),
                    detail);
        }
    }

    /**
     * All records are known as of some revision.
     *
     * @param oldestRevision the oldest revision of any kind of record
     * @param termRevision the revision at which the own term was stored
     * @return whether they are recent enough; otherwise they must be read again
     */
    public boolean onRecordsLoaded(long oldestRevision, long termRevision, double nowSeconds) {
        if (oldestRevision < termRevision) {
            LOG.error(
                    "records are older than the term and are read again: term={} revision={}"
                            + " termRevision={}",
                    term,
                    oldestRevision,
                    termRevision);
            return false;
        }
        markPassed(PromotionCheck.RECORDS, "", nowSeconds);
        markPassed(PromotionCheck.ORDERS, "", nowSeconds);
        transitionTo(State.REQUESTING_STATUS);
        return true;
    }

    /**
     * The machines of the previous leader are known from a complete replica: whom to ask, and what
     * not to scale out again.
     */
    public void onReplicaApplied(double nowSeconds) {
        machineListLoaded = true;
        warmStandby = true;
        markPassed(PromotionCheck.LIST, " source=replica", nowSeconds);
    }

    /** The cloud has listed its machines, with their addresses. */
    @Override
    public void onInstancesListed(double nowSeconds) {
        machineListLoaded = true;
    }

    @Override
    public boolean mayDecide(double nowSeconds) {
        return state == State.ACTIVE;
    }

    /**
     * Machines that an earlier leader requested last may not be listed yet: until they must be,
     * none are requested again. Without any trace of an earlier leader there are none such.
     */
    @Override
    public boolean mayScaleOut(double nowSeconds) {
        boolean hasPredecessor = state != State.ACTIVE || foundOutstandingStarts;
        double waitSeconds =
                machineListLoaded ? Math.min(listLagSeconds, timeoutSeconds) : timeoutSeconds;
        if (!hasPredecessor || nowSeconds >= startedAtSeconds + waitSeconds) {
            markPassed(PromotionCheck.LIST, "", nowSeconds);
        }
        return passTimes.containsKey(PromotionCheck.LIST);
    }

    /** Sends the requests that are due, and finds out whether the leader may decide. */
    public void advance(Collection<Machine> machines, double nowSeconds) {
        if (state != State.REQUESTING_STATUS) {
            return;
        }
        List<Machine> dueMachines = new ArrayList<>();
        int pendingCount = 0;
        for (Machine machine : machines) {
            if (!machine.awaitsFirstHeartbeat()) {
                continue;
            }
            foundOutstandingStarts |= machine.hasAttempts();
            StatusRequest request =
                    requests.computeIfAbsent(machine.name(), name -> new StatusRequest());
            if (request.state == RequestState.NOT_SENT && machine.address() != null) {
                dueMachines.add(machine);
            }
            if (isPending(machine, request)) {
                pendingCount++;
            }
        }
        sendRequests(dueMachines);
        if (areRequestsComplete(pendingCount) || nowSeconds >= startedAtSeconds + timeoutSeconds) {
            complete(machines, nowSeconds);
        }
    }

    /**
     * Whether a machine may still answer. One that is recorded but whose address is unknown even to
     * the cloud cannot be asked.
     */
    private boolean isPending(Machine machine, StatusRequest request) {
        boolean mayBeAsked =
                machine.address() != null || (machine.hasAttempts() && !machineListLoaded);
        return request.state != RequestState.FAILED && mayBeAsked;
    }

    private void sendRequests(List<Machine> dueMachines) {
        dueMachines.sort(Comparator.comparingInt(Failover::requestPriority));
        for (Machine machine : dueMachines) {
            if (inFlight >= maxInFlight) {
                return;
            }
            StatusRequest request = requests.get(machine.name());
            inFlight++;
            request.onSent();
            statusRequester.requestStatus(
                    machine, Math.max(request.agentEpoch, machine.agentEpochHint()));
        }
    }

    private boolean areRequestsComplete(int pendingCount) {
        boolean requestsEnabled = maxInFlight > 0;
        if (foundOutstandingStarts) {
            return requestsEnabled && machineListLoaded && pendingCount == 0;
        }
        return !requestsEnabled || pendingCount == 0;
    }

    private void complete(Collection<Machine> machines, double nowSeconds) {
        long silentCount =
                machines.stream()
                        .filter(machine -> machine.awaitsFirstHeartbeat() && machine.hasAttempts())
                        .count();
        // Silent machines count until they answer or their lease has expired.
        markPassed(PromotionCheck.MACHINES, " silentMachines=" + silentCount, nowSeconds);
        LOG.info(
                "failover complete: term={} afterSeconds={} machines={} silentMachines={} standby={}",
                term,
                roundToHundredths(nowSeconds - startedAtSeconds),
                machines.size(),
                silentCount,
                warmStandby ? "warm" : "cold");
        transitionTo(State.ACTIVE);
    }

    /** Without a formatter, as making the first one takes a tenth of the start-up time. */
    private static double roundToHundredths(double seconds) {
        return Math.round(seconds * HUNDREDTHS_PER_SECOND) / HUNDREDTHS_PER_SECOND;
    }

    /**
     * First machines with services and gangs, whose loss costs most, and those with a command of
     * the previous leader in flight; then machines with other tasks.
     */
    private static int requestPriority(Machine machine) {
        if (machine.hasGangOrServiceTask() || machine.hasUnansweredCommandOfPreviousLeader()) {
            return 0;
        }
        return machine.hasAttempts() ? 1 : 2;
    }

    /**
     * A heartbeat request has ended.
     *
     * @param heartbeat the machine's answer; null if there was none
     */
    public void onStatusRequestOutcome(
            String machineName, DeliveryOutcome outcome, Heartbeat heartbeat) {
        StatusRequest request = requests.get(machineName);
        if (request == null || request.state != RequestState.IN_FLIGHT) {
            return;
        }
        inFlight--;
        boolean isAnswer = heartbeat != null && heartbeat.machineName().equals(machineName);
        if (isAnswer && heartbeat.fencingToken() >= term) {
            request.onResponded();
        } else if (isAnswer && request.canResend()) {
            request.onEpochMismatch(heartbeat.agentEpoch());
        } else if (outcome == DeliveryOutcome.NOT_ATTEMPTED) {
            request.onNotAttempted();
        } else {
            request.onFailed();
        }
    }
}
