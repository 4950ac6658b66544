package io.kelphoist.leadership;

import io.kelphoist.election.Election;
import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.peer.GrantClient;
import io.kelphoist.peer.GrantRequest;
import io.kelphoist.peer.GrantResponse;
import io.kelphoist.peer.HandoverMessage;
import io.kelphoist.peer.LeaderState;
import io.kelphoist.peer.PeerClient;
import io.kelphoist.replication.MachineStatePublisher.MachineStateUpdate;
import io.kelphoist.statestore.StateStoreClient;
import io.kelphoist.statestore.protocol.LeaderRecord;
import io.kelphoist.statestore.protocol.StateStoreResult;
import java.util.List;
import java.util.Optional;

/**
 * Connects the {@link Election}, which makes the decisions, to the state store and the other
 * controllers. {@link LeadershipKeyWatcher} reads the leadership keys, {@link
 * LeadershipAcquisition} writes them, and {@link PeerConnectivity} tracks when messages of the
 * leader and the other controllers arrived. Runs on the event loop.
 */
public final class LeaderElector implements Election.Actions {
    /**
     * The parameters of the election.
     *
     * @param controllerName name of this controller
     * @param peerNames names of all other controllers
     * @param leaseMillis duration of the leader lease
     * @param grantMillis duration of a grant, a follower's promise not to lead
     * @param startedAtSeconds when this process started, on the event loop's clock
     */
    public record Parameters(
            String controllerName,
            List<String> peerNames,
            long leaseMillis,
            long grantMillis,
            double startedAtSeconds) {}

    /** Is notified of the start and the end of each term that this controller leads. */
    public interface TermListener {
        /**
         * This controller was elected leader.
         *
         * @param termVersion version of the term key: the revision at which the term was stored
         */
        void onTermStarted(long term, long termVersion);

        /** The term that this controller led has ended. */
        void onTermEnded();
    }

    /**
     * Supplies the contents of a leader's grant requests and handover messages, and processes the
     * responses.
     */
    public interface GrantMessages {
        /** Returns the state that the leader replicates to a peer with a grant request sent now. */
        LeaderState stateFor(String peer);

        /**
         * A peer responded to a grant request of the current term.
         *
         * @param sentAtSeconds when the request was sent
         */
        void onGrantResponse(String peer, GrantResponse response, double sentAtSeconds);

        /**
         * Returns the last changes of machine state in the ended term that a peer has not
         * acknowledged, for the handover message to it; empty if machine state is not replicated.
         */
        Optional<MachineStateUpdate> handoverUpdate(String peer);

        /**
         * Returns the controller whose replica of the leader's machine state is most current, which
         * should lead next. Called before the term ends. Empty if no other controller has
         * acknowledged any machine state in this term.
         */
        Optional<String> preferredSuccessor();

        /**
         * Whether this controller has current replicas of the leader's state and of the records. If
         * not, it lets other controllers become candidates first.
         */
        boolean isReplicaCurrent();
    }

    private static final double MILLIS_PER_SECOND = 1000.0;

    /**
     * After this long without a grant request or a change of the leader, a follower reads the
     * leadership keys at an interval, because the watch may report changes late.
     */
    private static final double LEADER_SILENCE_SECONDS = 1.0;

    private static final double STATE_STORE_PROBE_INTERVAL_SECONDS = 0.8;

    /** Two intervals between probes of the state store, and some time for the response. */
    private static final double RECENT_READ_SECONDS = STATE_STORE_PROBE_INTERVAL_SECONDS * 2.5;

    /**
     * Delay between the release of a lease and a read of the keys. By then the state store has
     * deleted the leader key that was attached to the lease.
     */
    private static final double READ_AFTER_RELEASE_SECONDS = 0.3;

    private final String controllerName;
    private final StateStoreClient stateClient;
    private final GrantClient grantClient;
    private final EventLoop eventLoop;
    private final Election election;
    private final LeadershipKeyWatcher keyWatcher;
    private final LeadershipAcquisition acquisition;
    private final PeerConnectivity peerConnectivity;
    private TermListener termListener;
    private GrantMessages grantMessages;

    /** Version of the term key in the last term that this controller acquired; 0 if none. */
    private long termVersion;

    /** The controller that should lead after the last term that ended here; empty if none. */
    private Optional<String> preferredSuccessor = Optional.empty();

    private double nextStateStoreProbeAtSeconds;

    /** Creates an elector that does nothing before {@link #start}. */
    public LeaderElector(
            Parameters parameters,
            StateStoreClient stateClient,
            PeerClient peerClient,
            EventLoop eventLoop) {
        this.controllerName = parameters.controllerName;
        this.stateClient = stateClient;
        this.grantClient = new GrantClient(peerClient);
        this.eventLoop = eventLoop;
        this.election =
                new Election(
                        parameters.controllerName,
                        parameters.peerNames,
                        parameters.leaseMillis / MILLIS_PER_SECOND,
                        parameters.grantMillis / MILLIS_PER_SECOND,
                        parameters.startedAtSeconds,
                        this);
        this.keyWatcher = new LeadershipKeyWatcher(stateClient, eventLoop, this::onKeysRead);
        this.acquisition =
                new LeadershipAcquisition(
                        controllerName,
                        stateClient,
                        eventLoop,
                        parameters.leaseMillis,
                        new AcquisitionListener());
        this.peerConnectivity =
                new PeerConnectivity(grantClient.peerNames(), this::probe, stateClient, eventLoop);
    }

    /** Starts following the leadership keys. Called once, before the first {@link #tick}. */
    public void start(TermListener termListener, GrantMessages grantMessages) {
        this.termListener = termListener;
        this.grantMessages = grantMessages;
        keyWatcher.read();
    }

    /** The state of the election. */
    public Election election() {
        return election;
    }

    /**
     * The leader that the leader key named when it was last read; empty if the key was absent or
     * has not been read, or if that leader's term has ended since. While this controller leads, its
     * own name.
     */
    public Optional<String> leader() {
        return Optional.ofNullable(election.leader());
    }

    /** Runs the steps of the election and the probes that are due. */
    public void tick() {
        peerConnectivity.updateLeader(leader());
        election.tick(eventLoop.nowSeconds());
        probeStateStore(eventLoop.nowSeconds());
        peerConnectivity.probeIfDue(eventLoop.nowSeconds());
    }

    // ---- leadership keys ----

    /**
     * While the leader is silent, a follower reads the leadership keys at an interval: it then
     * matters whether this controller can reach the state store, and the watch alone would show
     * that seconds later.
     */
    private void probeStateStore(double nowSeconds) {
        if (election.state() == Election.State.FOLLOWER
                && nowSeconds >= nextStateStoreProbeAtSeconds
                && peerConnectivity.isLeaderSilentFor(LEADER_SILENCE_SECONDS, nowSeconds)) {
            nextStateStoreProbeAtSeconds = nowSeconds + STATE_STORE_PROBE_INTERVAL_SECONDS;
            keyWatcher.read();
        }
    }

    /**
     * Whether the leadership keys were read recently: within two probe intervals and some time for
     * the response. Meaningful only on a follower whose leader is silent, because only then are
     * they read at that interval.
     */
    public boolean hasReadKeysRecently(double nowSeconds) {
        return keyWatcher.hasReadWithin(RECENT_READ_SECONDS, nowSeconds);
    }

    private void onKeysRead(LeadershipKeys keys) {
        acquisition.revokePreviousLease(keys, keyWatcher::read);
        passToElection(keys);
    }

    private void passToElection(LeadershipKeys keys) {
        election.onLeaderKeyRead(
                keys.leader().map(LeaderRecord::controllerName).orElse(null),
                keys.leader().map(LeaderRecord::term).orElse(0L),
                keys.lastTerm(),
                eventLoop.nowSeconds());
    }

    private final class AcquisitionListener implements LeadershipAcquisition.Listener {
        @Override
        public void onAcquired(long term, long leaseId, long revision, double sentAtSeconds) {
            termVersion = revision;
            keyWatcher.onWritten(revision);
            election.onLeadershipAcquired(term, leaseId, sentAtSeconds, eventLoop.nowSeconds());
        }

        @Override
        public void onLeaderKeyHeld(LeadershipKeys keys) {
            passToElection(keys);
        }

        @Override
        public void onFailed() {
            election.onAcquisitionFailed(eventLoop.nowSeconds());
            keyWatcher.read();
        }
    }

    // ---- actions of the election ----

    @Override
    public void acquireLeadership() {
        acquisition.start();
    }

    @Override
    public boolean isReplicaCurrent() {
        return grantMessages.isReplicaCurrent();
    }

    @Override
    public void renewLease(long leaseId) {
        double sentAtSeconds = eventLoop.nowSeconds();
        stateClient.renewLease(
                leaseId,
                result -> {
                    boolean renewed = result instanceof StateStoreResult.Success<Long>;
                    boolean expired = result.isRejectedFor(StateStoreResult.Reason.NOT_FOUND);
                    if (renewed || expired) {
                        election.onLeaseRenewed(
                                leaseId, renewed, sentAtSeconds, eventLoop.nowSeconds());
                    }
                    if (expired) {
                        keyWatcher.read();
                    }
                });
    }

    @Override
    public void releaseLease(long leaseId) {
        stateClient.revokeLease(leaseId);
        eventLoop.schedule(READ_AFTER_RELEASE_SECONDS, keyWatcher::read);
    }

    @Override
    public void handOverLeadership(long endedTerm, long leaseId) {
        Optional<String> successor = preferredSuccessor;
        stateClient.revokeLease(
                leaseId,
                () -> {
                    for (String peer : grantClient.peerNames()) {
                        sendHandover(peer, endedTerm, successor);
                    }
                });
        eventLoop.schedule(READ_AFTER_RELEASE_SECONDS, keyWatcher::read);
    }

    private void sendHandover(String peer, long endedTerm, Optional<String> successor) {
        grantClient.handOver(
                peer,
                new HandoverMessage(
                        endedTerm, controllerName, successor, grantMessages.handoverUpdate(peer)));
    }

    @Override
    public void requestGrant(String peer, long term, double sentAtSeconds) {
        GrantRequest request =
                new GrantRequest(
                        term,
                        controllerName,
                        stateClient.failingForSeconds() == 0,
                        grantMessages.stateFor(peer));
        grantClient.requestGrant(
                peer, request, response -> onGrantResponse(peer, term, response, sentAtSeconds));
    }

    private void onGrantResponse(
            String peer, long term, GrantResponse response, double sentAtSeconds) {
        peerConnectivity.onPeerResponse();
        if (response.granted()) {
            election.onGrantReceived(peer, term, sentAtSeconds);
        }
        recordStateStoreReachability(response.stateStoreReachable());
        if (election.state() == Election.State.LEADER && election.term() == term) {
            grantMessages.onGrantResponse(peer, response, sentAtSeconds);
        }
    }

    @Override
    public void onElected(long term) {
        termListener.onTermStarted(term, termVersion);
    }

    @Override
    public void onLeadershipEnded() {
        preferredSuccessor = grantMessages.preferredSuccessor();
        termListener.onTermEnded();
    }

    private void probe(String peer) {
        grantClient.probe(peer, peerConnectivity::onPeerResponse);
    }

    // ---- messages of other controllers ----

    /**
     * Records that a leader requested a grant, and whether it reaches the state store. Called
     * before {@link Election#onGrantRequested} decides whether the grant is given.
     */
    void recordLeaderContact(GrantRequest request) {
        recordStateStoreReachability(request.stateStoreReachable());
        peerConnectivity.onGrantRequest(request.sender());
    }

    private void recordStateStoreReachability(boolean peerReachesStateStore) {
        if (peerReachesStateStore) {
            peerConnectivity.onPeerReachesStateStore();
        }
    }

    /** Another leader handed over: its term has ended. */
    void onPeerTermEnded(HandoverMessage handover) {
        election.onTermEnded(
                handover.endedTerm(),
                handover.preferredSuccessor().filter(controllerName::equals).isPresent(),
                eventLoop.nowSeconds());
        tick();
    }

    /**
     * Whether the leader sent a grant request recently or has changed recently; see {@link
     * PeerConnectivity#hasRecentLeaderContact}.
     */
    public boolean hasRecentLeaderContact(double nowSeconds) {
        return peerConnectivity.hasRecentLeaderContact(leader(), nowSeconds);
    }

    /**
     * Whether this controller appears to be isolated from the state store while others are not; see
     * {@link PeerConnectivity#isIsolatedFromStateStore}.
     */
    public boolean isIsolatedFromStateStore() {
        return peerConnectivity.isIsolatedFromStateStore();
    }
}
