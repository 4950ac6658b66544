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
 * The failover of one term: from the election of this controller to its first scheduling decision.
 *
 * <p>Before a leader starts or stops tasks it must know which task attempts run on which machine.
 * Instead of waiting for one round of regular heartbeats, it sends a status request to each machine
 * that it has loaded from the records, the replica or the cloud's instance list. The request
 * carries the fencing token of the term, and the machine responds with a heartbeat. From its
 * response on, the machine refuses the commands of earlier leaders. If a machine does not respond,
 * all task attempts that are recorded for it are assumed to be running until its worker lease has
 * expired even at the maximum clock drift. Which attempts may be running is therefore determined
 * only by the records and by these heartbeats; the replica and the instance list are only hints
 * about where to send status requests.
 *
 * <p>Owns the state of the failover and of the status requests. Performs no I/O: events and times,
 * in seconds of the event loop's clock, are passed in. Confined to one thread.
 */
public final class Failover implements PromotionGate {
    /**
     * The states of the failover, in the order in which they follow. {@link #transitionTo} is the
     * only method that changes the state.
     */
    public enum State {
        /** The records are read from the state store, or their replica is verified as current. */
        LOADING_RECORDS,
        /** Status requests are sent to machines, or their regular heartbeats are awaited. */
        REQUESTING_STATUS,
        /** The failover is complete: the leader may start and stop tasks. */
        ACTIVE
    }

    /** Sends status requests. The outcome of each is passed to {@link #onStatusRequestOutcome}. */
    public interface StatusRequester {
        /**
         * Sends a status request, to which the machine responds with a heartbeat.
         *
         * @param agentEpoch the newest agent epoch of the machine that this leader or an earlier
         *     one has received; 0 if there is none
         */
        void requestStatus(Machine machine, long agentEpoch);
    }

    /** The state of the status request to one machine. */
    private enum RequestState {
        NOT_SENT,
        IN_FLIGHT,
        RESPONDED,
        FAILED
    }

    /** The status request to one machine, with its retries. */
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

        /**
         * The worker's agent epoch differs from the one in the request, so the worker did not check
         * the fencing token.
         */
        void onEpochMismatch(long reportedEpoch) {
            agentEpoch = reportedEpoch;
            state = RequestState.NOT_SENT;
        }

        /** The request was not sent; it does not count towards the maximum number of requests. */
        void onNotAttempted() {
            sentCount--;
            state = RequestState.NOT_SENT;
        }

        boolean canResend() {
            return sentCount < MAX_REQUESTS_PER_MACHINE;
        }
    }

    private static final Logger LOG = LoggerFactory.getLogger(Failover.class);

    /**
     * After this many requests with a wrong agent epoch no more are sent to a machine. The failover
     * does not wait for it: its attempts are assumed to be running until its regular heartbeat.
     */
    private static final int MAX_REQUESTS_PER_MACHINE = 3;

    private static final double HUNDREDTHS_PER_SECOND = 100.0;

    private final long term;
    private final double startedAtSeconds;
    private final double timeoutSeconds;
    private final double listLagSeconds;

    /** Maximum number of status requests without a response; 0 if no status requests are sent. */
    private final int maxInFlight;

    private final StatusRequester statusRequester;
    private final Map<String, StatusRequest> requests = new HashMap<>();
    private final EnumMap<PromotionCheck, Double> passTimes = new EnumMap<>(PromotionCheck.class);
    private State state = State.LOADING_RECORDS;
    private int inFlight;

    /**
     * Whether the list of machines has been loaded, from the cloud or from the replica of the
     * previous leader's state.
     */
    private boolean machineListLoaded;

    /** Whether an earlier leader started tasks that may still run. */
    private boolean foundOutstandingStarts;

    /** Whether the replica of the previous leader's machines was complete. */
    private boolean warmStandby;

    /**
     * Starts the failover of a term.
     *
     * @param term the term, whose number is the fencing token of the status requests
     * @param timeoutSeconds time from the election until the machines that have not responded are
     *     no longer waited for: one round of heartbeats
     * @param listLagSeconds usual upper bound on the delay until the cloud's instance list contains
     *     a new machine
     * @param maxInFlight maximum number of status requests without a response. It limits the rate
     *     of the requests and of the heartbeats that follow. 0: no status requests are sent and
     *     regular heartbeats are awaited
     * @param nowSeconds when this controller was elected
     */
    public Failover(
            long term,
            double timeoutSeconds,
            double listLagSeconds,
            int maxInFlight,
            StatusRequester statusRequester,
            double nowSeconds) {
        this.term = term;
        this.startedAtSeconds = nowSeconds;
        this.timeoutSeconds = timeoutSeconds;
        this.listLagSeconds = listLagSeconds;
        this.maxInFlight = maxInFlight;
        this.statusRequester = statusRequester;
        markPassed(PromotionCheck.LEADERSHIP, "", nowSeconds);
    }

    /** Returns the current state. */
    public State state() {
        return state;
    }

    /**
     * Returns the seconds from the start of the term until a check passed; NaN if it has not
     * passed.
     */
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
                    "promotion check passed: term={} check={} secondsSinceTermStart={}{}",
                    term,
                    check,
                    roundToHundredths(nowSeconds - startedAtSeconds),
                    detail);
        }
    }

    /**
     * All records have been loaded, each kind as of some revision.
     *
     * @param oldestRevision the oldest revision of any kind of record
     * @param termRevision the revision at which this leader's term was stored
     * @return whether the records are at least as recent as the term; otherwise they must be read
     *     again
     */
    public boolean onRecordsLoaded(long oldestRevision, long termRevision, double nowSeconds) {
        if (oldestRevision < termRevision) {
            LOG.error(
                    "outdated records loaded, reading them again: term={} oldestRevision={}"
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
     * The machines of the previous leader have been loaded from a complete replica. They determine
     * which machines receive a status request, and which scale-out must not be requested again.
     */
    public void onReplicaApplied(double nowSeconds) {
        machineListLoaded = true;
        warmStandby = true;
        markPassed(PromotionCheck.LIST, " source=replica", nowSeconds);
    }

    /** The cloud has returned a complete instance list, which contains the machines' addresses. */
    @Override
    public void onInstancesListed(double nowSeconds) {
        machineListLoaded = true;
    }

    @Override
    public boolean maySchedule(double nowSeconds) {
        return state == State.ACTIVE;
    }

    /**
     * Whether machines may be requested from the cloud. The machines that an earlier leader
     * requested shortly before the failover may not be in the instance list yet, and must not be
     * requested twice. None is requested until the usual delay of that list has passed since the
     * election, or the timeout if no list was loaded. There is no wait after a complete replica was
     * applied, nor after a failover that found no outstanding starts of an earlier leader.
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

    /**
     * Sends the status requests that are due, and completes the failover once no response is
     * pending or the timeout has passed. Has no effect unless the state is REQUESTING_STATUS.
     */
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
     * Whether a machine may still respond. Without an address it cannot receive a request; if it
     * has recorded attempts, its address may still be in the machine list until that is loaded.
     */
    private boolean isPending(Machine machine, StatusRequest request) {
        boolean canBeRequested =
                machine.address() != null || (machine.hasAttempts() && !machineListLoaded);
        return request.state != RequestState.FAILED && canBeRequested;
    }

    /** Sends status requests by priority, up to the maximum number in flight. */
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

    /**
     * Whether no further response needs to be awaited before the timeout. With outstanding starts,
     * the machine list must be loaded and no response may be pending; if status requests are
     * disabled, the failover lasts until the timeout. Without outstanding starts, only pending
     * responses are awaited, and none if status requests are disabled.
     */
    private boolean areRequestsComplete(int pendingCount) {
        boolean requestsEnabled = maxInFlight > 0;
        if (foundOutstandingStarts) {
            return requestsEnabled && machineListLoaded && pendingCount == 0;
        }
        return !requestsEnabled || pendingCount == 0;
    }

    private void complete(Collection<Machine> machines, double nowSeconds) {
        long unresponsiveCount =
                machines.stream()
                        .filter(machine -> machine.awaitsFirstHeartbeat() && machine.hasAttempts())
                        .count();
        // Attempts on an unresponsive machine are assumed to be running until the machine responds
        // or its worker lease has expired.
        markPassed(
                PromotionCheck.MACHINES, " unresponsiveMachines=" + unresponsiveCount, nowSeconds);
        LOG.info(
                "failover completed: term={} secondsSinceTermStart={} machines={}"
                        + " unresponsiveMachines={} standby={}",
                term,
                roundToHundredths(nowSeconds - startedAtSeconds),
                machines.size(),
                unresponsiveCount,
                warmStandby ? "warm" : "cold");
        transitionTo(State.ACTIVE);
    }

    /**
     * Rounds without a formatter, because creating the first formatter takes a tenth of the
     * start-up time.
     */
    private static double roundToHundredths(double seconds) {
        return Math.round(seconds * HUNDREDTHS_PER_SECOND) / HUNDREDTHS_PER_SECOND;
    }

    /**
     * Returns the order of status requests; the lowest number is sent first. First come machines
     * with tasks of services and gangs, whose loss is the most expensive, and machines with a
     * command of the previous leader in flight; then machines with other tasks; then all others.
     */
    private static int requestPriority(Machine machine) {
        if (machine.hasGangOrServiceTask() || machine.isPreviousLeaderCommandOutcomeUnknown()) {
            return 0;
        }
        return machine.hasAttempts() ? 1 : 2;
    }

    /**
     * A status request has ended. It will be sent again if it was not attempted, or if it contained
     * a wrong agent epoch, the latter up to {@link #MAX_REQUESTS_PER_MACHINE} requests.
     *
     * @param outcome how the delivery of the request ended
     * @param heartbeat the heartbeat in the response; null if there was no response. The heartbeat
     *     of another machine, to which the address was reassigned, counts as no response
     */
    public void onStatusRequestOutcome(
            String machineName, DeliveryOutcome outcome, Heartbeat heartbeat) {
        StatusRequest request = requests.get(machineName);
        if (request == null || request.state != RequestState.IN_FLIGHT) {
            return;
        }
        inFlight--;
        boolean isResponse = heartbeat != null && heartbeat.machineName().equals(machineName);
        if (isResponse && heartbeat.fencingToken() >= term) {
            request.onResponded();
        } else if (isResponse && request.canResend()) {
            request.onEpochMismatch(heartbeat.agentEpoch());
        } else if (outcome == DeliveryOutcome.NOT_ATTEMPTED) {
            request.onNotAttempted();
        } else {
            request.onFailed();
        }
    }
}
