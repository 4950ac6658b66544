package io.kelphoist.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kelphoist.statestore.StateStoreSimulation;
import io.kelphoist.statestore.StoredJobs;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.AfterContainer;
import org.junit.jupiter.api.Test;

/**
 * The leader may renew leases only for some time after the moment up to which all stored changes of
 * jobs have been applied. If a change that was stored before that moment were missing, leases of a
 * cancelled job's tasks could be renewed. None may be missing, even if the state store compacts
 * changes, refuses or delays requests, or does not respond.
 */
class RecordReplicationTest {
    private static final int JOB_COUNT = 5;
    private static int compactions;
    private static int verifications;

    private StateStoreSimulation store;
    private StoredJobs storedJobs;
    private RecordReplication replication;

    /** Whether the state store refuses the requests of the replication. */
    private boolean requestsRefused;

    /** When the last change of each job was stored. */
    private Map<String, Double> lastChangeAtSeconds;

    /** The version that the last change of each job has. */
    private Map<String, Long> lastChangeVersions;

    /**
     * @param salt seeds the random delays of the state store
     */
    private void startReplication(int salt) {
        store = new StateStoreSimulation(salt, /* startSeconds= */ 100);
        storedJobs = new StoredJobs(store);
        requestsRefused = false;
        lastChangeAtSeconds = new HashMap<>();
        lastChangeVersions = new HashMap<>();
        replication = new RecordReplication(store.viewFor(() -> requestsRefused), store);
        replication.start();
    }

    /** Stores a job's record; has no effect while the state store is unavailable. */
    private void storeJob(String id, boolean cancelled) {
        if (store.faults().isUnavailable()) {
            return;
        }
        lastChangeVersions.put(
                id, cancelled ? storedJobs.putCancelled(id) : storedJobs.putActive(id));
        lastChangeAtSeconds.put(id, store.nowSeconds());
    }

    private void assertStoredChangesApplied() {
        Map<String, Long> replicatedVersions = new HashMap<>();
        replication
                .replica()
                .allJobs()
                .forEach(job -> replicatedVersions.put(job.id(), job.version()));
        lastChangeAtSeconds.forEach(
                (id, at) ->
                        assertTrue(
                                at >= replication.jobsCurrentAsOfSeconds()
                                        || replicatedVersions.getOrDefault(id, -1L)
                                                >= lastChangeVersions.get(id),
                                () ->
                                        id
                                                + " was changed at "
                                                + at
                                                + ", the jobs should be current as of "
                                                + replication.jobsCurrentAsOfSeconds()
                                                + ", and its replicated version is "
                                                + replicatedVersions.get(id)));
        assertTrue(
                replication.jobsCurrentAsOfSeconds() <= store.nowSeconds(),
                () ->
                        "jobs are current as of "
                                + replication.jobsCurrentAsOfSeconds()
                                + ", expected at most the present, "
                                + store.nowSeconds());
    }

    /**
     * Runs the action that {@code step % 16} selects, with the argument {@code step / 16}, and then
     * advances the time by 0.2 to 2.4 seconds.
     */
    private void runStep(int step) {
        int argument = step / 16;
        switch (step % 16) {
            case 0, 1, 2, 3 -> storeJob("job-" + argument % JOB_COUNT, false);
            case 4, 5 -> storeJob("job-" + argument % JOB_COUNT, true);
            case 6 -> {
                store.setCompactedRevision(store.revision() + argument % 2);
                compactions++;
            }
            case 7 -> store.faults().setUnavailable(argument % 2 == 0);
            case 8 -> requestsRefused = argument % 2 == 0;
            case 9, 10 -> {
                double requestedAtSeconds = store.nowSeconds();
                replication.verifyCurrent(
                        replica -> {
                            verifications++;
                            assertTrue(
                                    replication.jobsCurrentAsOfSeconds() >= requestedAtSeconds,
                                    () ->
                                            "verified jobs are current as of "
                                                    + replication.jobsCurrentAsOfSeconds()
                                                    + ", expected the time of the request, "
                                                    + requestedAtSeconds
                                                    + ", or later");
                            assertStoredChangesApplied();
                            replication.startFollowing();
                        });
            }
            case 11 -> replication.startFollowing();
            default -> {}
        }
        for (int i = 0; i <= argument % 12; i++) {
            store.advance(0.2);
            assertStoredChangesApplied();
        }
    }

    @Property(tries = 2000, seed = "20261207")
    void allChangesBeforeTheReportedMomentAreApplied(
            @ForAll @Size(min = 10, max = 80) List<@IntRange(min = 0, max = 1919) Integer> steps,
            @ForAll @IntRange(min = 0, max = 996) int salt) {
        startReplication(salt);
        steps.forEach(this::runStep);
        store.faults().setUnavailable(false);
        requestsRefused = false;
        store.setCompactedRevision(Math.min(store.compactedRevision(), store.revision()));
        replication.startFollowing();
        store.advance(20);
        assertTrue(
                replication.jobsCurrentAsOfSeconds() > store.nowSeconds() - 6,
                () ->
                        "20 s after the faults ended, at "
                                + store.nowSeconds()
                                + ", jobs are current as of "
                                + replication.jobsCurrentAsOfSeconds()
                                + ", expected within the last 6 s");
        assertStoredChangesApplied();
    }

    @AfterContainer
    static void faultsOccurredOftenEnough() {
        assertTrue(
                compactions > 1000 && verifications > 2000,
                compactions
                        + " compactions, expected more than 1000; "
                        + verifications
                        + " verifications, expected more than 2000");
    }

    /**
     * While the replica's requests are refused, it misses changes, which the state store then
     * compacts. All records must be read again, or the cancellation would be lost.
     */
    @Test
    void compactedChangesAreReadAgain() {
        startReplication(3);
        storeJob("job-1", false);
        store.advance(6);
        requestsRefused = true;
        storeJob("job-1", true);
        storeJob("job-2", false);
        store.advance(20);
        store.setCompactedRevision(store.revision());
        requestsRefused = false;
        store.advance(8);
        assertTrue(
                replication.replica().isCancelled("job-1"),
                "the cancellation of job-1 must be applied");
        assertEquals(1, replication.replica().unfinishedJobCount());
        assertTrue(
                replication.jobsCurrentAsOfSeconds() > store.nowSeconds() - 6,
                () ->
                        "8 s after requests were accepted again, at "
                                + store.nowSeconds()
                                + ", jobs are current as of "
                                + replication.jobsCurrentAsOfSeconds()
                                + ", expected within the last 6 s");
    }
}
