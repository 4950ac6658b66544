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
 * Leases are renewed by the time up to which all changes of jobs are known: whatever the state
 * store compacts, refuses, delays or does not answer, each change that was stored before that time
 * has been applied.
 */
class RecordReplicationTest {
    private static final int JOBS = 5;
    private static int compactions;
    private static int verifications;

    private StateStoreSimulation store;
    private StoredJobs storedJobs;
    private RecordReplication replication;
    private boolean refused;

    /** When each job's last change was stored, and as what. */
    private Map<String, Double> changedAt;

    private Map<String, Long> versions;

    private void begin(int salt) {
        store = new StateStoreSimulation(salt, 100);
        storedJobs = new StoredJobs(store);
        refused = false;
        changedAt = new HashMap<>();
        versions = new HashMap<>();
        replication = new RecordReplication(store.viewFor(() -> refused), store);
        replication.start();
    }

    private void change(String id, boolean cancelled) {
        if (store.faults().isDown()) {
            return;
        }
        versions.put(id, cancelled ? storedJobs.putCancelled(id) : storedJobs.putActive(id));
        changedAt.put(id, store.nowSeconds());
    }

    private void check() {
        Map<String, Long> known = new HashMap<>();
        replication.replica().allJobs().forEach(job -> known.put(job.id(), job.version()));
        changedAt.forEach(
                (id, at) ->
                        assertTrue(
                                at >= replication.jobsKnownUntilSeconds()
                                        || known.getOrDefault(id, -1L) >= versions.get(id),
                                () ->
                                        id
                                                + " was changed at "
                                                + at
                                                + ", changes are known until "
                                                + replication.jobsKnownUntilSeconds()
                                                + ", and its known version is "
                                                + known.get(id)));
        assertTrue(
                replication.jobsKnownUntilSeconds() <= store.nowSeconds(),
                "nothing is known of the future");
    }

    private void step(int step) {
        int argument = step / 16;
        switch (step % 16) {
            case 0, 1, 2, 3 -> change("job-" + argument % JOBS, false);
            case 4, 5 -> change("job-" + argument % JOBS, true);
            case 6 -> {
                store.setCompactedRevision(store.revision() + argument % 2);
                compactions++;
            }
            case 7 -> store.faults().setDown(argument % 2 == 0);
            case 8 -> refused = argument % 2 == 0;
            case 9, 10 -> {
                double requestedAt = store.nowSeconds();
                replication.verifyCurrent(
                        replica -> {
                            verifications++;
                            assertTrue(
                                    replication.jobsKnownUntilSeconds() >= requestedAt,
                                    "the verified records are not older than the request");
                            check();
                            replication.startFollowing();
                        });
            }
            case 11 -> replication.startFollowing();
            default -> {}
        }
        for (int i = 0; i <= argument % 12; i++) {
            store.advance(0.2);
            check();
        }
    }

    @Property(tries = 2000, seed = "20261207")
    void allChangesBeforeTheKnownTimeAreApplied(
            @ForAll @Size(min = 10, max = 80) List<@IntRange(min = 0, max = 1919) Integer> steps,
            @ForAll @IntRange(min = 0, max = 996) int salt) {
        begin(salt);
        steps.forEach(this::step);
        store.faults().setDown(false);
        refused = false;
        store.setCompactedRevision(Math.min(store.compactedRevision(), store.revision()));
        replication.startFollowing();
        store.advance(20);
        assertTrue(
                replication.jobsKnownUntilSeconds() > store.nowSeconds() - 6,
                "changes are known again after all faults");
        check();
    }

    @AfterContainer
    static void faultsHappenedOftenEnough() {
        assertTrue(
                compactions > 1000 && verifications > 2000,
                compactions + " compactions, " + verifications + " verifications");
    }

    /** The state store has compacted the changes in between: all records are read again. */
    @Test
    void compactedChangesAreReadAgain() {
        begin(3);
        change("job-1", false);
        store.advance(6);
        refused = true;
        change("job-1", true);
        change("job-2", false);
        store.advance(20);
        store.setCompactedRevision(store.revision());
        refused = false;
        store.advance(8);
        assertTrue(replication.replica().isCancelled("job-1"), "job-1 is cancelled");
        assertEquals(1, replication.replica().unfinishedJobCount());
        assertTrue(
                replication.jobsKnownUntilSeconds() > store.nowSeconds() - 6,
                "changes are known again");
    }
}
