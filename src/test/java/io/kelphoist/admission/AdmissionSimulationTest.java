package io.kelphoist.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobSpec;
import io.kelphoist.model.JobSpecBuilder;
import io.kelphoist.model.JobStatus;
import io.kelphoist.model.MachineType;
import io.kelphoist.model.Resources;
import io.kelphoist.model.Team;
import io.kelphoist.statestore.GroupCommitter;
import io.kelphoist.statestore.StateStoreSimulation;
import io.kelphoist.statestore.StoredJobs;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.AfterContainer;
import org.junit.jupiter.api.Test;

/**
 * Users submit, cancel and query jobs through three controllers, while the state service is slow,
 * refuses one controller, is down for all, or applies transactions late, out of order, or without a
 * response. A user whose answer is that a job is accepted or final queries all controllers within
 * milliseconds, submits the job again and sometimes cancels it. No answer is older than any answer
 * given before the request was sent, nor than any earlier answer of the same controller; no
 * accepted job is unknown, a dependent of a cancelled job is soon cancelled, and a cancellation is
 * recorded before it is reported.
 */
class AdmissionSimulationTest {
    private static final int JOBS = 8;
    private static final int CONTROLLERS = 3;
    private static final double CANCEL_SECONDS = 30;
    private static final Team TEAM =
            new Team("t", new Resources(1e6, 4, 1e6), new Resources(1e6, 8, 1e6));
    private static final MachineType TYPE =
            new MachineType("m", new Resources(8, 2, 64), 50, 1, 8, 3, 25, List.of("a"));
    private static int finalResponses;
    private static int deferredResponses;
    private static int lateWrites;
    private static int cancelledDependents;
    private static int lostResponses;
    private static int overtakenResponses;

    private final class Controller {
        final Set<String> recordedCancellations = new HashSet<>();

        /** The last phase that this controller reported of each job. */
        final Map<String, AdmissionResult.Phase> reportedPhases = new HashMap<>();

        boolean storeUnreachable;
        final StateStoreSimulation.View view = store.viewFor(() -> storeUnreachable);
        final Admission admission =
                Admission.create(
                        new Admission.StoreAccess(
                                view, new GroupCommitter(view, store, 1e6, 48)::submit),
                        store,
                        () -> 1,
                        new FixedMachineTypes(List.of(TYPE)),
                        new AdmissionSettings(List.of(TEAM), List.of("a"), 4, CANCEL_SECONDS),
                        this::onStatusReported);

        private void onStatusReported(JobRecord record) {
            if (record.status() == JobStatus.CANCELLED) {
                recordedCancellations.add(record.id());
            }
        }
    }

    private StateStoreSimulation store;
    private StoredJobs storedJobs;
    private List<Controller> controllers;

    /** The phase of each job that any controller has answered. */
    private Map<String, AdmissionResult.Phase> reported;

    private Map<String, Double> cancelledAt;

    /** Jobs whose users query all controllers whenever an answer has a new phase. */
    private Set<String> watchedJobs;

    private void reset(int seed) {
        store = new StateStoreSimulation(seed, 0);
        storedJobs = new StoredJobs(store);
        controllers = new ArrayList<>();
        reported = new HashMap<>();
        cancelledAt = new HashMap<>();
        watchedJobs = new HashSet<>();
        for (int i = 0; i < CONTROLLERS; i++) {
            controllers.add(new Controller());
        }
    }

    /** Two dependency chains: 1 needs 0, 2 needs 1, and 5 needs 4. */
    private static JobSpec spec(int number) {
        List<String> dependencies =
                number == 1 || number == 2 || number == 5
                        ? List.of("job-" + (number - 1))
                        : List.of();
        return new JobSpecBuilder("job-" + number).dependencies(dependencies).build();
    }

    private ResponseCheck newCheck(int number, Controller controller) {
        return new ResponseCheck(number, controller);
    }

    /** Compares an answer with all answers that were given before the request was sent. */
    private final class ResponseCheck implements Consumer<AdmissionResult> {
        private final int number;
        private final String id;
        private final Controller controller;
        private final AdmissionResult.Phase before;

        /** On a first submission: an answer had been that a dependency is cancelled. */
        private final boolean dependencyCancelled;

        /** The time in which the cancellation of a dependency has to reach this job is over. */
        private final boolean cancellationDue;

        private boolean hasResponse;

        ResponseCheck(int number, Controller controller) {
            this.number = number;
            this.controller = controller;
            id = "job-" + number;
            before = reported.get(id);
            List<String> dependencies = spec(number).dependencies();
            dependencyCancelled =
                    before == null
                            && dependencies.stream()
                                    .anyMatch(
                                            dependency ->
                                                    reported.get(dependency)
                                                            == AdmissionResult.Phase.CANCELLED);
            cancellationDue = dependencies.stream().anyMatch(this::isCancellationDue);
        }

        private boolean isCancellationDue(String dependency) {
            return store.nowSeconds()
                    > cancelledAt.getOrDefault(dependency, Double.POSITIVE_INFINITY)
                            + CANCEL_SECONDS;
        }

        @Override
        public void accept(AdmissionResult answer) {
            assertTrue(!hasResponse, id + " is answered twice");
            hasResponse = true;
            if (answer instanceof AdmissionResult.RetryLater) {
                deferredResponses++;
                return;
            }
            AdmissionResult.JobStateView job = jobOf(answer);
            if (job == null) {
                assertNeverAccepted(answer);
                return;
            }
            AdmissionResult.Phase now = job.phase();
            assertAgreesWithController(answer, now);
            boolean news =
                    reported.get(id) == null || (now.isFinal() && !reported.get(id).isFinal());
            assertAgreesWithAllResponses(now);
            recordPhase(now);
            if (news && watchedJobs.contains(id)) {
                queryEverywhere(number);
            }
        }

        private static AdmissionResult.JobStateView jobOf(AdmissionResult answer) {
            if (answer instanceof AdmissionResult.Accepted accepted) {
                return accepted.job();
            }
            return answer instanceof AdmissionResult.Found found ? found.job() : null;
        }

        private void assertNeverAccepted(AdmissionResult answer) {
            assertEquals(null, before, id + " was accepted, and is answered " + answer);
            assertEquals(
                    null,
                    controller.reportedPhases.get(id),
                    id + " was accepted here, and is answered " + answer);
        }

        private void assertAgreesWithController(AdmissionResult answer, AdmissionResult.Phase now) {
            AdmissionResult.Phase here = controller.reportedPhases.get(id);
            assertTrue(
                    here == null || !here.isFinal() || here == now,
                    id + " was called " + here + " here and is called " + now);
            assertTrue(
                    !dependencyCancelled
                            || now == AdmissionResult.Phase.CANCELLED
                            || answer instanceof AdmissionResult.Found,
                    id + " is accepted as " + now + ", and a dependency was called cancelled");
            overtakenResponses += here != null && here.isFinal() && before != here ? 1 : 0;
            controller.reportedPhases.put(id, now);
        }

        private void assertAgreesWithAllResponses(AdmissionResult.Phase now) {
            assertTrue(
                    before == null || !before.isFinal() || before == now,
                    id + " was called " + before + " and is called " + now);
            assertTrue(
                    now != AdmissionResult.Phase.CANCELLED
                            || controller.recordedCancellations.contains(id),
                    id + " is called cancelled, and that was not recorded before");
            assertTrue(
                    !cancellationDue || now == AdmissionResult.Phase.CANCELLED,
                    id + " is called " + now + " long after a dependency was cancelled");
        }

        private void recordPhase(AdmissionResult.Phase now) {
            reported.merge(id, now, (was, is) -> was.isFinal() ? was : is);
            if (now == AdmissionResult.Phase.CANCELLED
                    && cancelledAt.putIfAbsent(id, store.nowSeconds()) == null) {
                cancelledDependents += spec(number).dependencies().isEmpty() ? 0 : 1;
            }
            finalResponses += now.isFinal() ? 1 : 0;
        }
    }

    /** Queries all controllers repeatedly, submits the job again, and cancels one job in four. */
    private void queryEverywhere(int number) {
        for (int i = 0; i < 2 * CONTROLLERS; i++) {
            Controller controller = controllers.get(i % CONTROLLERS);
            store.schedule(
                    0.001 * i,
                    () ->
                            controller.admission.query(
                                    "job-" + number, newCheck(number, controller)));
        }
        Controller again = controllers.get(number % CONTROLLERS);
        store.schedule(0.002, () -> again.admission.submit(spec(number), newCheck(number, again)));
        if (number % 4 == 0) {
            Controller other = controllers.get((number + 1) % CONTROLLERS);
            store.schedule(
                    0.003, () -> other.admission.cancel("job-" + number, newCheck(number, other)));
        }
    }

    private void runStep(int step) {
        int number = step % JOBS;
        Controller controller = controllers.get(step / JOBS % CONTROLLERS);
        int action = step / JOBS / CONTROLLERS;
        int argument = action / 16;
        switch (action % 16) {
            case 0, 1, 2 -> {
                // Users name only accepted jobs as dependencies.
                if (spec(number).dependencies().stream().allMatch(reported::containsKey)) {
                    controller.admission.submit(spec(number), newCheck(number, controller));
                }
            }
            case 3, 4 -> {
                if (reported.containsKey("job-" + number)) {
                    controller.admission.cancel("job-" + number, newCheck(number, controller));
                }
            }
            case 5 -> storeDone(number);
            case 6 -> controller.storeUnreachable = argument % 2 == 0;
            case 7 -> store.faults().setDown(argument % 2 == 0);
            case 8 -> store.faults().setLateWritesPerTen(argument % 6);
            case 11 -> watchedJobs.add("job-" + number);
            case 12 -> store.faults().setLostResponsesPerTen(argument % 4);
            case 9 -> {
                if (argument % 3 == 0) {
                    store.setCompactedRevision(store.revision());
                }
            }
            case 10 -> store.advance(2.0 * argument);
            default -> controller.admission.query("job-" + number, newCheck(number, controller));
        }
        store.advance(argument / 4.0);
    }

    /** Stores the end of a job as the leader does: only an active job becomes done. */
    private void storeDone(int number) {
        boolean isActive =
                storedJobs.status("job-" + number).filter(JobStatus.ACTIVE::equals).isPresent();
        if (isActive && spec(number).dependencies().isEmpty() && !store.faults().isDown()) {
            storedJobs.putDone("job-" + number);
        }
    }

    @Property(tries = 3000, seed = "20261205")
    void responsesAreNeverOlderThanEarlierResponses(
            @ForAll @Size(min = 20, max = 120) List<@IntRange(min = 0, max = 3071) Integer> steps,
            @ForAll @IntRange(min = 0, max = 996) int seed) {
        reset(seed);
        steps.forEach(this::runStep);
        lateWrites += store.lateWrites();
        lostResponses += store.lostResponses();
        // After all faults have ended, the second query of each job is answered.
        store.faults().setDown(false);
        store.faults().setLateWritesPerTen(0);
        store.faults().setLostResponsesPerTen(0);
        controllers.forEach(controller -> controller.storeUnreachable = false);
        store.advance(40);
        for (int number = 0; number < JOBS; number++) {
            for (Controller controller : controllers) {
                AdmissionResult[] last = new AdmissionResult[1];
                for (int i = 0; i < 2; i++) {
                    ResponseCheck check = newCheck(number, controller);
                    controller.admission.query(
                            "job-" + number,
                            answer -> {
                                last[0] = answer;
                                check.accept(answer);
                            });
                    store.advance(10);
                }
                assertTrue(
                        last[0] != null && !(last[0] instanceof AdmissionResult.RetryLater),
                        "job-" + number + " is answered " + last[0] + " after all faults");
            }
        }
    }

    @AfterContainer
    static void faultsHappenedOftenEnough() {
        assertTrue(
                finalResponses > 10_000
                        && deferredResponses > 5_000
                        && lateWrites > 150
                        && cancelledDependents > 500,
                finalResponses
                        + " final answers, "
                        + deferredResponses
                        + " deferred, "
                        + lateWrites
                        + " late writes, "
                        + cancelledDependents
                        + " dependents cancelled");
        assertTrue(
                lostResponses > 300 && overtakenResponses > 100,
                lostResponses
                        + " responses lost, "
                        + overtakenResponses
                        + " requests overtaken by a final answer");
    }

    /**
     * A cancellation is recorded before it is reported by a repeated submission or cancellation.
     */
    @Test
    void cancellationIsRecordedBeforeItIsReported() {
        reset(1);
        Controller first = controllers.get(0);
        first.admission.submit(spec(0), newCheck(0, first));
        store.advance(5);
        first.admission.cancel("job-0", newCheck(0, first));
        store.advance(5);
        assertEquals(Set.of("job-0"), first.recordedCancellations);
        for (Controller other : controllers.subList(1, 3)) {
            assertEquals(Set.of(), other.recordedCancellations);
        }
        controllers.get(1).admission.submit(spec(0), newCheck(0, controllers.get(1)));
        controllers.get(2).admission.submit(spec(1), newCheck(1, controllers.get(2)));
        store.advance(5);
        assertEquals(Set.of("job-0"), controllers.get(1).recordedCancellations);
        // Accepted as cancelled, as its dependency is.
        assertEquals(Set.of("job-1"), controllers.get(2).recordedCancellations);
        assertTrue(storedJobs.status("job-1").isPresent(), "job-1 has a record");
    }
}
