package io.kelphoist.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kelphoist.election.Election;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Executes the commands and checks the expectations of a scenario that concern an election. */
final class ScenarioElection implements Election.Actions {
    private static final long LEASE_ID = 7;

    private Election election;
    private boolean replicaInSync = true;
    private List<String> peers;
    private final List<String> requests = new ArrayList<>();
    private final Map<String, Double> grantRequestedAtSeconds = new HashMap<>();
    private double renewalRequestedAtSeconds;
    private double nowSeconds;

    void tick(double atSeconds) {
        nowSeconds = atSeconds;
        if (election != null) {
            election.tick(atSeconds);
        }
    }

    void execute(ScenarioLine line) {
        switch (line.command()) {
            case "election" -> start(line);
            case "leader-key" -> onLeaderKey(line);
            case "leadership-acquired" ->
                    election.onLeadershipAcquired(
                            line.longAt(1),
                            LEASE_ID,
                            nowSeconds - line.number("requested-ago", 0),
                            nowSeconds);
            case "acquisition-failed" -> election.onAcquisitionFailed(nowSeconds);
            case "lease-renewal-outcome" ->
                    election.onLeaseRenewed(
                            LEASE_ID,
                            line.isFirstOf(1, "renewed", "expired"),
                            renewalRequestedAtSeconds,
                            nowSeconds);
            case "grant-received" ->
                    election.onGrantReceived(
                            line.word(1),
                            line.longAt(2),
                            grantRequestedAtSeconds.get(line.word(1)));
            case "grant-requested" -> onGrantRequested(line);
            case "term-ended" ->
                    election.onTermEnded(line.longAt(1), line.has("successor"), nowSeconds);
            case "replica-in-sync" -> replicaInSync = line.booleanAt(1);
            case "resign" -> election.resign("test", nowSeconds);
            default -> throw new IllegalArgumentException("unknown command: " + line.command());
        }
    }

    private void start(ScenarioLine line) {
        peers = line.list("peers");
        election =
                new Election(
                        line.word(1),
                        peers,
                        line.number("lease", 3),
                        line.number("grant", 2.5),
                        nowSeconds,
                        this);
    }

    /** Syntax: {@code grant-requested PEER TERM granted|refused}. */
    private void onGrantRequested(ScenarioLine line) {
        assertTrue(
                peers.contains(line.word(1)),
                line.word(1) + " requests a grant, expected one of the peers " + peers);
        boolean isGranted = election.onGrantRequested(line.longAt(2), nowSeconds);
        assertEquals(
                line.isFirstOf(3, "granted", "refused"),
                isGranted,
                "whether the grant to " + line.word(1) + " is given");
    }

    /**
     * Syntax: {@code leader-key HOLDER|absent [TERM]}. TERM is the newest stored term, which is
     * also that of the holder; 0 if omitted.
     */
    private void onLeaderKey(ScenarioLine line) {
        boolean isAbsent = line.word(1).equals("absent");
        long term = line.size() > 2 ? line.longAt(2) : 0;
        election.onLeaderKeyRead(
                isAbsent ? null : line.word(1), isAbsent ? 0 : term, term, nowSeconds);
    }

    void expect(ScenarioLine line) {
        switch (line.word(1)) {
            case "is-leader" -> assertEquals(line.booleanAt(2), election.isLeader(nowSeconds));
            case "election-state" ->
                    assertEquals(line.word(2), election.state().name().toLowerCase(Locale.ROOT));
            case "election-requests" -> {
                assertEquals(line.textFrom(2), ScenarioOutput.describe(requests));
                requests.clear();
            }
            default -> throw new IllegalArgumentException("unknown expectation: " + line.text());
        }
    }

    @Override
    public boolean isReplicaCurrent() {
        return replicaInSync;
    }

    @Override
    public void acquireLeadership() {
        requests.add("acquire-leadership");
    }

    @Override
    public void renewLease(long leaseId) {
        requests.add("renew-lease");
        renewalRequestedAtSeconds = nowSeconds;
    }

    @Override
    public void releaseLease(long leaseId) {
        requests.add("release-lease");
    }

    @Override
    public void handOverLeadership(long endedTerm, long leaseId) {
        requests.add("hand-over-" + endedTerm);
    }

    @Override
    public void requestGrant(String peer, long term, double sentAtSeconds) {
        requests.add("request-grant-" + peer);
        grantRequestedAtSeconds.put(peer, sentAtSeconds);
    }

    @Override
    public void onElected(long term) {
        requests.add("elected");
    }

    @Override
    public void onLeadershipEnded() {
        requests.add("leadership-ended");
    }
}
