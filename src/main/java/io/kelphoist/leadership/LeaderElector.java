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
 * Connects the {@link Election}, which decides, to the state store and the other controllers.
 * {@link LeadershipKeyWatcher} reads the leadership keys, {@link LeadershipAcquisition} writes
 * them, and {@link PeerContacts} knows who was heard when. Runs on the event loop.
 */
public final class LeaderElector implements Election.Actions {
    /**
     * The parameters of the election.
     *
     * @param nodeName name of this controller
     * @param peerNames names of all other controllers
     * @param leaseMillis duration of the leader's lease
     * @param grantMillis duration of a grant
     * @param startedAtSeconds when this process started, on the event loop's clock
     */
    public record Parameters(
            String nodeName,
            List<String> peerNames,
            long leaseMillis,
            long grantMillis,
            double startedAtSeconds) {}

    /** Is told when a term begins and ends here. */
    public interface TermListener {
        /**
         * This controller was elected.
         *
         * @param termVersion revision at which the term was stored
         */
        void onTermStarted(long term, long termVersion);

        /** The term that was led here is over. */
        void onTermEnded();
    }

    /** Contents of the messages with which a leader requests grants and hands over. */
    public interface GrantMessages {
        /** Returns what the leader replicates to a peer with a grant request that is sent now. */
        LeaderState stateFor(String peer);

        /** A peer responded to a grant request of the current term. */
        void onGrantResponse(String peer, GrantResponse response, double sentAtSeconds);

        /** Returns the last machine states of the ended term, for the handover to a peer. */
        Optional<MachineStateUpdate> handoverUpdate(String peer);

        /** The controller that is best prepared to lead next, if any is known. */
        Optional<String> preferredSuccessor();

        /** See {@link Election.Actions#isFollowing}. */
        boolean isReplicaCurrent();
    }

    private static final double MILLIS_PER_SECOND = 1000.0;

    /** After so long without the leader the keys are read, as the watch may report late. */
    private static final double LEADER_SILENCE_SECONDS = 1.0;

    private static final double STATE_PROBE_INTERVAL_SECONDS = 0.8;

    /** Two intervals between probes, and some time for the response. */
    private static final double RECENT_READ_SECONDS = STATE_PROBE_INTERVAL_SECONDS * 2.5;

    /** By then the state store has deleted the key of a released lease. */
    private static final double READ_AFTER_RELEASE_SECONDS = 0.3;

    /**
     * The term key follows the leader key, and is not evaluated once the leader key is found: the
     * election then gets no last term.
     */
    private static final long NO_LAST_TERM = 0;

    private final String nodeName;
    private final StateStoreClient stateClient;
    private final GrantClient grantClient;
    private final EventLoop eventLoop;
    private final Election election;
    private final LeadershipKeyWatcher keyWatcher;
    private final LeadershipAcquisition acquisition;
    private final PeerContacts contacts;
    private TermListener termListener;
    private GrantMessages grantMessages;

    /** Revision at which the last term that began here was stored. */
    private long termVersion;

    /** Who should lead after the last term that ended here. */
    private Optional<String> preferredSuccessor = Optional.empty();

    private double nextStateProbeAtSeconds;

    /** Creates an elector that does nothing before {@link #start}. */
    public LeaderElector(
            Parameters parameters,
            StateStoreClient stateClient,
            PeerClient peerClient,
            EventLoop eventLoop) {
        this.nodeName = parameters.nodeName;
        this.stateClient = stateClient;
        this.grantClient = new GrantClient(peerClient);
        this.eventLoop = eventLoop;
        this.election =
                new Election(
                        parameters.nodeName,
                        parameters.peerNames,
                        parameters.leaseMillis / MILLIS_PER_SECOND,
                        parameters.grantMillis / MILLIS_PER_SECOND,
                        parameters.startedAtSeconds,
                        this);
        this.keyWatcher = new LeadershipKeyWatcher(stateClient, eventLoop, this::onKeysRead);
        this.acquisition =
                new LeadershipAcquisition(
                        nodeName,
                        stateClient,
                        eventLoop,
                        parameters.leaseMillis,
                        new AcquisitionListener());
        this.contacts =
                new PeerContacts(grantClient.peerNames(), this::probe, stateClient, eventLoop);
    }

    /** Begins to follow the leadership keys. Called once. */
    public void start(TermListener termListener, GrantMessages grantMessages) {
        this.termListener = termListener;
        this.grantMessages = grantMessages;
        keyWatcher.read();
    }

    /** The state of the election. */
    public Election election() {
        return election;
    }

    /** The leader that the state store last named; empty if there is none or it is unknown. */
    public Optional<String> leader() {
        return Optional.ofNullable(election.leader());
    }

    /** Lets the election and the probes do what is due. */
    public void tick() {
        contacts.updateLeader(leader());
        election.tick(eventLoop.nowSeconds());
        probeStateStore(eventLoop.nowSeconds());
        contacts.probeIfDue(eventLoop.nowSeconds());
    }

    // ---- leadership keys ----

    /**
     * While the leader is silent it matters whether the state store can be reached. The watch alone
     * would report that seconds later.
     */
    private void probeStateStore(double nowSeconds) {
        if (election.state() == Election.State.FOLLOWER
                && nowSeconds >= nextStateProbeAtSeconds
                && contacts.isLeaderSilentFor(LEADER_SILENCE_SECONDS, nowSeconds)) {
            nextStateProbeAtSeconds = nowSeconds + STATE_PROBE_INTERVAL_SECONDS;
            keyWatcher.read();
        }
    }

    /** Whether the keys were read a moment ago, given that the leader is silent. */
    public boolean hasReadKeysRecently(double nowSeconds) {
        return keyWatcher.hasReadWithin(RECENT_READ_SECONDS, nowSeconds);
    }

    private void onKeysRead(LeadershipKeys keys) {
        acquisition.releaseFormerLease(keys, keyWatcher::read);
        election.onLeaderKey(
                keys.leader().map(LeaderRecord::nodeName).orElse(null),
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
        public void onHeldByOther(LeaderRecord leader) {
            election.onLeaderKey(
                    leader.nodeName(), leader.term(), NO_LAST_TERM, eventLoop.nowSeconds());
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
    public boolean isFollowing() {
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
                        endedTerm, nodeName, successor, grantMessages.handoverUpdate(peer)));
    }

    @Override
    public void requestGrant(String peer, long term, double sentAtSeconds) {
        GrantRequest request =
                new GrantRequest(
                        term,
                        nodeName,
                        stateClient.failingForSeconds() == 0,
                        grantMessages.stateFor(peer));
        grantClient.requestGrant(
                peer, request, response -> onGrantResponse(peer, term, response, sentAtSeconds));
    }

    private void onGrantResponse(
            String peer, long term, GrantResponse response, double sentAtSeconds) {
        contacts.onPeerResponse();
        if (response.granted()) {
            election.onGrantReceived(peer, term, sentAtSeconds);
        }
        recordStateHealth(response.stateStoreReachable());
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
        grantClient.probe(peer, contacts::onPeerResponse);
    }

    // ---- messages of other controllers ----

    /** Another controller requested a grant as the leader; the election has not answered yet. */
    void onGrantRequest(GrantRequest request) {
        recordStateHealth(request.stateStoreReachable());
        contacts.onGrantRequest(request.sender());
    }

    private void recordStateHealth(boolean peerReachesState) {
        if (peerReachesState) {
            contacts.onPeerReachesState();
        }
    }

    /** Another leader handed over: its term is over. */
    void onPeerTermEnded(HandoverMessage handover) {
        election.onTermEnded(
                handover.endedTerm(),
                handover.preferredSuccessor().filter(nodeName::equals).isPresent(),
                eventLoop.nowSeconds());
        tick();
    }

    /** See {@link PeerContacts#hasRecentLeaderContact}. */
    public boolean hasRecentLeaderContact(double nowSeconds) {
        return contacts.hasRecentLeaderContact(leader(), nowSeconds);
    }

    /** Whether this controller alone seems to have lost the state store. */
    public boolean isIsolatedFromState() {
        return contacts.isIsolatedFromState();
    }
}
