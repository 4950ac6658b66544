package io.kelphoist.failover;

import io.kelphoist.admission.Admission;
import io.kelphoist.admission.AdmissionResult;
import io.kelphoist.admission.AdmissionSettings;
import io.kelphoist.admission.FixedMachineTypes;
import io.kelphoist.failover.SimulationCounters.Counter;
import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobSpec;
import io.kelphoist.model.JobStatus;
import io.kelphoist.model.Priority;
import io.kelphoist.model.Team;
import io.kelphoist.statestore.StateStoreSimulation;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Users who submit, cancel and query jobs at the admissions of three controllers. The newest
 * response about each job is recorded. The number of a request selects the controller and the job.
 */
final class SimulatedUsers {
    private static final int CONTROLLERS = 3;
    private static final int MAX_VALUE_KILOBYTES = 4;

    /** Delay after which a request with the response {@code RetryLater} is sent again. */
    private static final double RETRY_SECONDS = 1;

    /** A request that can be sent to the admission of any controller. */
    private interface Request {
        void send(Admission admission, Consumer<AdmissionResult> onResponse);
    }

    private final SimulationContext context;
    private final SimulatedJobs jobs;
    private final SimulationChecker checker;
    private final AcknowledgedCancellationLog cancellations;
    private final QueueWaitRecorder queueWaits;

    /** The state store, which also schedules actions in virtual time. */
    private final StateStoreSimulation timer;

    private final List<Admission> admissions = new ArrayList<>();

    /**
     * The newest phase that a response to a user contained, by job. A final phase is not replaced.
     */
    private final Map<String, AdmissionResult.Phase> acknowledgedPhases = new HashMap<>();

    /**
     * Creates the admissions of the controllers.
     *
     * @param leadership determines which controllers' admissions the state store refuses
     */
    SimulatedUsers(
            SimulatedLeader.Dependencies dependencies,
            SimulatedJobs jobs,
            QueueWaitRecorder queueWaits,
            Leadership leadership) {
        this.context = dependencies.context();
        this.jobs = jobs;
        this.checker = dependencies.checker();
        this.cancellations = dependencies.cancellations();
        this.queueWaits = queueWaits;
        this.timer = dependencies.stateStore().store();
        for (int i = 0; i < CONTROLLERS; i++) {
            int number = i;
            StateStoreSimulation.View view =
                    timer.viewFor(() -> leadership.isAdmissionRefusedByStore(number));
            admissions.add(createAdmission(dependencies, view));
        }
    }

    private Admission createAdmission(
            SimulatedLeader.Dependencies dependencies, StateStoreSimulation.View view) {
        AdmissionSettings settings =
                new AdmissionSettings(
                        List.<Team>of(dependencies.team()),
                        List.of("a"),
                        MAX_VALUE_KILOBYTES,
                        SimulationChecker.CANCELLATION_TIMEOUT_SECONDS);
        return Admission.create(
                new Admission.StoreAccess(
                        view, dependencies.stateStore().createCommitter(view)::submit),
                timer,
                /* wallClockMillis= */ () -> 0,
                new FixedMachineTypes(List.of(SimulatedLeader.MACHINE_TYPE)),
                settings,
                this::beforeResponse);
    }

    /** Adds a cancellation to the log before the response is sent to the user. */
    private void beforeResponse(JobRecord job) {
        if (job.status() == JobStatus.CANCELLED
                && cancellations.add(job.id(), context.nowSeconds())) {
            context.counters().increment(Counter.JOBS_CANCELLED);
        }
    }

    void cancel(int number) {
        String jobId = jobOf(number);
        admissions.get(number % CONTROLLERS).cancel(jobId, checkAndRecordResponse(jobId));
    }

    void query(int number) {
        String jobId = jobOf(number);
        admissions.get(number % CONTROLLERS).query(jobId, checkAndRecordResponse(jobId));
    }

    private String jobOf(int number) {
        return "job-" + number / CONTROLLERS % jobs.size();
    }

    /** A user queries one job twice at each controller within milliseconds. */
    void queryInBurst(int number) {
        for (int i = 0; i < 2 * CONTROLLERS; i++) {
            int controller = i % CONTROLLERS;
            timer.schedule(0.001 * i, () -> query(number / CONTROLLERS * CONTROLLERS + controller));
        }
        context.counters().increment(Counter.QUERY_BURSTS);
    }

    /** Returns a handler that checks the response against earlier ones and records it. */
    private Consumer<AdmissionResult> checkAndRecordResponse(String jobId) {
        AdmissionResult.Phase before = acknowledgedPhases.get(jobId);
        return response -> {
            if (response instanceof AdmissionResult.RetryLater) {
                context.counters().increment(Counter.RETRY_LATER_RESPONSES);
                return;
            }
            AdmissionResult.Phase phase = checker.checkResponse(jobId, before, response);
            acknowledgedPhases.merge(
                    jobId, phase, (previous, next) -> previous.isFinal() ? previous : next);
        };
    }

    /**
     * A user submits a job of one task, retries until it is accepted, and cancels it after a delay
     * unless that is infinite.
     */
    void submit(int number, Priority priority, double durationSeconds, double cancelAfterSeconds) {
        String id = "job-" + (SimulatedTasks.INITIAL_JOBS + number);
        queueWaits.onSubmitted(id, priority);
        JobSpec job = SimulatedJobs.createSubmittedJob(id, priority, durationSeconds);
        Runnable cancel =
                () ->
                        sendWithRetries(
                                number + 1,
                                (admission, onResponse) -> admission.cancel(id, onResponse),
                                id,
                                () -> {});
        sendWithRetries(
                number,
                (admission, onResponse) -> admission.submit(job, onResponse),
                id,
                () -> {
                    queueWaits.onAccepted(id, context.nowSeconds());
                    if (cancelAfterSeconds < Double.POSITIVE_INFINITY) {
                        timer.schedule(cancelAfterSeconds, cancel);
                    }
                });
    }

    /** Sends a request, and again to the next controller while the response is to retry later. */
    private void sendWithRetries(int number, Request request, String jobId, Runnable onDone) {
        Consumer<AdmissionResult> responseHandler = checkAndRecordResponse(jobId);
        // The first controller is not used: the leader runs in it, and the leader and the admission
        // of a controller share one write limit.
        Admission admission = admissions.get(1 + number % (CONTROLLERS - 1));
        request.send(
                admission,
                response -> {
                    responseHandler.accept(
                            response instanceof AdmissionResult.Accepted accepted
                                    ? new AdmissionResult.Found(accepted.job())
                                    : response);
                    if (response instanceof AdmissionResult.RetryLater) {
                        timer.schedule(
                                RETRY_SECONDS,
                                () -> sendWithRetries(number + 1, request, jobId, onDone));
                    } else {
                        onDone.run();
                    }
                });
    }

    /**
     * Queries every job twice at each controller. The second query must find the job, even if the
     * response to the first one was to retry later.
     */
    void checkAllJobsFound() {
        Map<String, AdmissionResult> responses = new HashMap<>();
        for (int round = 0; round < 2; round++) {
            for (String jobId : jobs.ids()) {
                for (int i = 0; i < CONTROLLERS; i++) {
                    String request = jobId + " controller=" + i;
                    Consumer<AdmissionResult> responseHandler = checkAndRecordResponse(jobId);
                    admissions
                            .get(i)
                            .query(
                                    jobId,
                                    response -> {
                                        responses.put(request, response);
                                        responseHandler.accept(response);
                                    });
                }
            }
            timer.advance(5);
        }
        checker.checkResponsesAtEnd(responses, jobs.size() * CONTROLLERS);
    }
}
