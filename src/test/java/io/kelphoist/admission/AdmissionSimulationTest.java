package io.kelphoist.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobSpec;
import io.kelphoist.model.JobSpecBuilder;
import io.kelphoist.model.JobStatus;
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
 * Guards against responses that are older than an earlier response. Users submit, cancel and query
 * jobs through three controllers, while the state store is slow, refuses one controller's requests,
 * is unavailable, or applies transactions late, out of order or without a response. Users of some
 * jobs query all controllers within milliseconds of a response that the job is accepted or has
 * ended, submit the job again and sometimes cancel it.
 *
 * <p>Checks that no response is older than any response that was received before the request was
 * sent, nor than any earlier response of the same controller; that no accepted job is reported as
 * not found or rejected; that a job that depends on a cancelled one is reported only as cancelled
 * if the request was sent later than {@link #CANCELLATION_TIMEOUT_SECONDS} after that cancellation
 * was reported; and that a cancellation is recorded before it is reported.
 */
class AdmissionSimulationTest {
    private static final int JOBS = 8;
    private static final int CONTROLLERS = 3;
    private static final double CANCELLATION_TIMEOUT_SECONDS = 30;

    // Counted over all tries, to check that the faults and their effects were frequent enough.
    private static int finalResponses;
    private static int deferredResponses;
    private static int lateTransactions;
    private static int cancelledDependents;
    private static int lostResponses;
    private static int overtakenResponses;

    /** The admission of one controller, and what it has reported. */
    private final class Controller {
        /** Ids of the cancelled jobs whose records were passed to {@link #beforeResponse}. */
        final Set<String> recordedCancellations = new HashSet<>();

        /** The last phase that this controller reported of each job. */
        final Map<String, AdmissionResult.Phase> reportedPhases = new HashMap<>();

        boolean refusedByStore;
        final StateStoreSimulation.View view = store.viewFor(() -> refusedByStore);
        final Admission admission =
                AdmissionFixtures.create(
                        view, view, store, CANCELLATION_TIMEOUT_SECONDS, this::beforeResponse);

        private void beforeResponse(JobRecord record) {
            if (record.status() == JobStatus.CANCELLED) {
                recordedCancellations.add(record.id());
            }
        }
    }

    private StateStoreSimulation store;
    private StoredJobs storedJobs;
    private List<Controller> controllers;

    /** The newest phase of each job that any controller has reported; a final phase stays. */
    private Map<String, AdmissionResult.Phase> reportedByAny;

    /** By job id: when it was first reported as cancelled. */
    private Map<String, Double> cancelledAtSeconds;

    /** Jobs whose users query all controllers on the first response and the first final one. */
    private Set<String> watchedJobs;

    /** Creates a new simulation for each try, since jqwik runs all tries on one instance. */
    private void reset(int seed) {
        store = new StateStoreSimulation(seed, /* startSeconds= */ 0);
        storedJobs = new StoredJobs(store);
        controllers = new ArrayList<>();
        reportedByAny = new HashMap<>();
        cancelledAtSeconds = new HashMap<>();
        watchedJobs = new HashSet<>();
        for (int i = 0; i < CONTROLLERS; i++) {
            controllers.add(new Controller());
        }
    }

    /**
     * Returns a job's spec: job 1 depends on 0, 2 on 1 and 5 on 4; the others have no dependency.
     */
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

    /** Checks a response against all responses that were received before its request was sent. */
    private final class ResponseCheck implements Consumer<AdmissionResult> {
        private final int number;
        private final String id;
        private final Controller controller;

        /** The job's reported phase when the request was sent; null if none was reported. */
        private final AdmissionResult.Phase phaseBefore;

        /** Whether the job was not reported before, and a dependency was reported as cancelled. */
        private final boolean dependencyCancelled;

        /**
         * Whether, when the request was sent, the cancellation of a dependency had been reported
         * for longer than {@link #CANCELLATION_TIMEOUT_SECONDS}.
         */
        private final boolean cancellationDue;

        private boolean hasResponse;

        ResponseCheck(int number, Controller controller) {
            this.number = number;
            this.controller = controller;
            id = "job-" + number;
            phaseBefore = reportedByAny.get(id);
            List<String> dependencies = spec(number).dependencies();
            dependencyCancelled =
                    phaseBefore == null
                            && dependencies.stream()
                                    .anyMatch(
                                            dependency ->
                                                    reportedByAny.get(dependency)
                                                            == AdmissionResult.Phase.CANCELLED);
            cancellationDue = dependencies.stream().anyMatch(this::isCancellationDue);
        }

        private boolean isCancellationDue(String dependency) {
            return store.nowSeconds()
                    > cancelledAtSeconds.getOrDefault(dependency, Double.POSITIVE_INFINITY)
                            + CANCELLATION_TIMEOUT_SECONDS;
        }

        @Override
        public void accept(AdmissionResult result) {
            assertTrue(!hasResponse, id + ": received a second response to one request");
            hasResponse = true;
            if (result instanceof AdmissionResult.RetryLater) {
                deferredResponses++;
                return;
            }
            AdmissionResult.JobStateView job = jobOf(result);
            if (job == null) {
                assertNeverAccepted(result);
                return;
            }
            AdmissionResult.Phase phase = job.phase();
            assertAgreesWithController(result, phase);
            boolean isNewPhase =
                    reportedByAny.get(id) == null
                            || (phase.isFinal() && !reportedByAny.get(id).isFinal());
            assertAgreesWithAllResponses(phase);
            recordPhase(phase);
            if (isNewPhase && watchedJobs.contains(id)) {
                queryEverywhere(number);
            }
        }

        private static AdmissionResult.JobStateView jobOf(AdmissionResult result) {
            if (result instanceof AdmissionResult.Accepted accepted) {
                return accepted.job();
            }
            return result instanceof AdmissionResult.Found found ? found.job() : null;
        }

        private void assertNeverAccepted(AdmissionResult result) {
            assertEquals(
                    null,
                    phaseBefore,
                    id + " was reported before the request, but the response is " + result);
            assertEquals(
                    null,
                    controller.reportedPhases.get(id),
                    id + " was reported by this controller, but its response is " + result);
        }

        private void assertAgreesWithController(
                AdmissionResult result, AdmissionResult.Phase phase) {
            AdmissionResult.Phase phaseHere = controller.reportedPhases.get(id);
            assertTrue(
                    phaseHere == null || !phaseHere.isFinal() || phaseHere == phase,
                    id + " was reported here as " + phaseHere + " and now as " + phase);
            assertTrue(
                    !dependencyCancelled
                            || phase == AdmissionResult.Phase.CANCELLED
                            || result instanceof AdmissionResult.Found,
                    id + ": expected CANCELLED, as a dependency is, was accepted as " + phase);
            overtakenResponses +=
                    phaseHere != null && phaseHere.isFinal() && phaseBefore != phaseHere ? 1 : 0;
            controller.reportedPhases.put(id, phase);
        }

        private void assertAgreesWithAllResponses(AdmissionResult.Phase phase) {
            assertTrue(
                    phaseBefore == null || !phaseBefore.isFinal() || phaseBefore == phase,
                    id + " was reported as " + phaseBefore + " and now as " + phase);
            assertTrue(
                    phase != AdmissionResult.Phase.CANCELLED
                            || controller.recordedCancellations.contains(id),
                    id + " was reported as cancelled before the cancellation was recorded");
            assertTrue(
                    !cancellationDue || phase == AdmissionResult.Phase.CANCELLED,
                    id + ": expected CANCELLED 30 s after a dependency, was " + phase);
        }

        private void recordPhase(AdmissionResult.Phase phase) {
            reportedByAny.merge(
                    id, phase, (previous, newest) -> previous.isFinal() ? previous : newest);
            if (phase == AdmissionResult.Phase.CANCELLED
                    && cancelledAtSeconds.putIfAbsent(id, store.nowSeconds()) == null) {
                cancelledDependents += spec(number).dependencies().isEmpty() ? 0 : 1;
            }
            finalResponses += phase.isFinal() ? 1 : 0;
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
                // Users submit a job only after its dependencies were reported.
                if (spec(number).dependencies().stream().allMatch(reportedByAny::containsKey)) {
                    controller.admission.submit(spec(number), newCheck(number, controller));
                }
            }
            case 3, 4 -> {
                if (reportedByAny.containsKey("job-" + number)) {
                    controller.admission.cancel("job-" + number, newCheck(number, controller));
                }
            }
            case 5 -> storeDone(number);
            case 6 -> controller.refusedByStore = argument % 2 == 0;
            case 7 -> store.faults().setUnavailable(argument % 2 == 0);
            case 8 -> store.faults().setLateTransactionsPerTen(argument % 6);
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

    /** Stores that a job is done, as the leader does: only if it is active. */
    private void storeDone(int number) {
        boolean isActive =
                storedJobs.status("job-" + number).filter(JobStatus.ACTIVE::equals).isPresent();
        if (isActive && spec(number).dependencies().isEmpty() && !store.faults().isUnavailable()) {
            storedJobs.putDone("job-" + number);
        }
    }

    @Property(tries = 3000, seed = "20261205")
    void responsesAreNeverOlderThanEarlierResponses(
            @ForAll @Size(min = 20, max = 120) List<@IntRange(min = 0, max = 3071) Integer> steps,
            @ForAll @IntRange(min = 0, max = 996) int seed) {
        reset(seed);
        steps.forEach(this::runStep);
        lateTransactions += store.lateTransactions();
        lostResponses += store.lostResponses();
        // After all faults have ended, the second query for each job must not be deferred.
        store.faults().setUnavailable(false);
        store.faults().setLateTransactionsPerTen(0);
        store.faults().setLostResponsesPerTen(0);
        controllers.forEach(controller -> controller.refusedByStore = false);
        store.advance(40);
        for (int number = 0; number < JOBS; number++) {
            for (Controller controller : controllers) {
                AdmissionResult[] last = new AdmissionResult[1];
                for (int i = 0; i < 2; i++) {
                    ResponseCheck check = newCheck(number, controller);
                    controller.admission.query(
                            "job-" + number,
                            result -> {
                                last[0] = result;
                                check.accept(result);
                            });
                    store.advance(10);
                }
                assertTrue(
                        last[0] != null && !(last[0] instanceof AdmissionResult.RetryLater),
                        "job-" + number + ": no response, or deferred without faults: " + last[0]);
            }
        }
    }

    @AfterContainer
    static void faultsHappenedOftenEnough() {
        assertTrue(
                finalResponses > 10_000
                        && deferredResponses > 5_000
                        && lateTransactions > 150
                        && cancelledDependents > 500,
                "too few: "
                        + finalResponses
                        + " final responses, "
                        + deferredResponses
                        + " deferred, "
                        + lateTransactions
                        + " late transactions, "
                        + cancelledDependents
                        + " dependents cancelled");
        assertTrue(
                lostResponses > 300 && overtakenResponses > 100,
                "too few: "
                        + lostResponses
                        + " responses lost, "
                        + overtakenResponses
                        + " requests overtaken by a final response");
    }

    /**
     * A controller records a cancellation before it reports it, also in the response to a repeated
     * submission, or to a submission of a job that depends on the cancelled one.
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
        // job-1 is accepted as cancelled, since its dependency is cancelled.
        assertEquals(Set.of("job-1"), controllers.get(2).recordedCancellations);
        assertTrue(storedJobs.status("job-1").isPresent(), "expected a record of job-1");
    }
}
