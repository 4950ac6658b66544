package io.kelphoist.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kelphoist.model.JobSpec;
import io.kelphoist.model.JobSpecBuilder;
import io.kelphoist.statestore.StateStoreSimulation;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import net.jqwik.api.AfterFailureMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.AfterContainer;

/**
 * Guards against users' requests without a response because the callback of another request throws:
 * many requests share reads and transactions. Users submit, query and cancel jobs of which some
 * depend on others, and one callback in {@link #REQUESTS_PER_FAILURE} throws an exception or an
 * error when it is called. Each request must end once and in time.
 */
class AdmissionCallbackFailureTest {
    private static final int JOBS = 8;
    private static final int REQUESTS_PER_FAILURE = 8;

    /** Longer than the reads and writes of a request take together in the simulation. */
    private static final double RESPONSE_SECONDS = 30;

    private static final double CANCELLATION_TIMEOUT_SECONDS = 30;

    // Counted over all tries, to check that failures were frequent and met waiting requests.
    private static int failures;
    private static int failuresBesideOtherRequests;

    private StateStoreSimulation store;
    private Admission admission;
    private List<Request> requests;

    /** Creates a new simulation for each try, since jqwik runs all tries on one instance. */
    private void reset(int seed) {
        store = new StateStoreSimulation(seed, /* startSeconds= */ 0);
        admission =
                AdmissionFixtures.create(
                        store, store, store, CANCELLATION_TIMEOUT_SECONDS, record -> {});
        requests = new ArrayList<>();
    }

    /** A user's request, whose callback may throw. */
    private final class Request implements Consumer<AdmissionResult> {
        private final String description;
        private final boolean fails;
        private int responseCount;

        Request(String description, boolean fails) {
            this.description = description;
            this.fails = fails;
        }

        @Override
        public void accept(AdmissionResult result) {
            responseCount++;
            if (!fails) {
                return;
            }
            failures++;
            if (requests.stream().anyMatch(request -> request.responseCount == 0)) {
                failuresBesideOtherRequests++;
            }
            if (failures % 2 == 0) {
                throw new SimulatedException();
            }
            throw new SimulatedError();
        }
    }

    private static final class SimulatedException extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    private static final class SimulatedError extends Error {
        private static final long serialVersionUID = 1;
    }

    /** Job 1 depends on 0, 2 on 1, and 3 on all three; the others have no dependency. */
    private static JobSpec spec(int job) {
        List<String> dependencies =
                switch (job) {
                    case 1, 2 -> List.of("job-" + (job - 1));
                    case 3 -> List.of("job-0", "job-1", "job-2");
                    default -> List.of();
                };
        return new JobSpecBuilder("job-" + job).dependencies(dependencies).build();
    }

    /** Runs one step of a try: the number determines the job, the request and the pause after. */
    private void runStep(int step) {
        int job = step % JOBS;
        int kind = step / JOBS % 8;
        boolean fails = step / JOBS / 8 % REQUESTS_PER_FAILURE == 0;
        String description = "request " + requests.size() + " of kind " + kind + " for job " + job;
        Request request = new Request(description, fails);
        requests.add(request);
        runLikeEventLoop(
                () -> {
                    switch (kind) {
                        case 0, 1 -> admission.submit(spec(job), request);
                        case 2 -> admission.cancel("job-" + job, request);
                        default -> admission.query("job-" + job, request);
                    }
                });
        advance(step % 13 / 50.0);
    }

    /** As the event loop does, goes on after a task that has thrown. */
    private static void runLikeEventLoop(Runnable task) {
        try {
            task.run();
        } catch (SimulatedException | SimulatedError e) {
            // The event loop logs it.
        }
    }

    private void advance(double seconds) {
        double endSeconds = store.nowSeconds() + seconds;
        while (store.nowSeconds() < endSeconds) {
            runLikeEventLoop(() -> store.advance(endSeconds - store.nowSeconds()));
        }
    }

    @Property(tries = 1000, seed = "20261204", afterFailure = AfterFailureMode.SAMPLE_FIRST)
    void eachRequestEndsOnceAlthoughCallbacksOfOthersThrow(
            @ForAll @Size(min = 20, max = 120) List<@IntRange(min = 0, max = 6655) Integer> steps,
            @ForAll @IntRange(min = 0, max = 996) int seed) {
        reset(seed);
        steps.forEach(this::runStep);
        advance(RESPONSE_SECONDS);
        for (Request request : requests) {
            assertEquals(1, request.responseCount, request.description);
        }
        assertEquals(0, admission.revalidationWaitSeconds(store.nowSeconds()));
    }

    @AfterContainer
    static void checkThatFailuresWereFrequent() {
        assertTrue(failuresBesideOtherRequests > 1000, "failures: " + failuresBesideOtherRequests);
    }
}
