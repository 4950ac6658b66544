package io.kelphoist.failover;

import io.kelphoist.failover.SimulationCounters.Counter;
import io.kelphoist.model.CloudInstance;
import io.kelphoist.model.ExitReason;
import io.kelphoist.model.ScaleOutRequest;
import io.kelphoist.statestore.StateStoreSimulation;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * The machines that exist for the whole run, the machines that leaders scale out, and the cloud
 * that runs them.
 */
final class SimulatedFleet implements SimulatedWorker.Fleet {
    /** Maximum number of machines that leaders may scale out. */
    private static final int MAX_EXTRA_MACHINES = 3;

    /** Unused numbers between the first machines and those that replace them or are scaled out. */
    private static final int RESERVED_MACHINE_NUMBERS = 10;

    private final SimulationContext context;
    private final SimulatedTasks tasks;
    private final SimulationChecker checker;
    private final QueueWaitRecorder queueWaits;

    /** The state store, which also schedules actions in virtual time. */
    private final StateStoreSimulation timer;

    private final List<SimulatedWorker> workers = new ArrayList<>();
    private final Map<String, List<String>> machinesByRequest = new HashMap<>();
    private int bootingCount;
    private int nextNumber;

    SimulatedFleet(
            SimulationContext context,
            SimulatedTasks tasks,
            SimulationChecker checker,
            QueueWaitRecorder queueWaits,
            StateStoreSimulation timer) {
        this.context = context;
        this.tasks = tasks;
        this.checker = checker;
        this.queueWaits = queueWaits;
        this.timer = timer;
        nextNumber = context.size().workers() + RESERVED_MACHINE_NUMBERS;
        for (int i = 0; i < context.size().workers(); i++) {
            workers.add(createWorker(i, /* scaledOut= */ false));
        }
    }

    private SimulatedWorker createWorker(int number, boolean scaledOut) {
        return new SimulatedWorker(number, scaledOut, context, tasks, this);
    }

    List<SimulatedWorker> workers() {
        return Collections.unmodifiableList(workers);
    }

    /** Returns one of the machines that exist for the whole run. */
    SimulatedWorker worker(int number) {
        return workers.get(number % context.size().workers());
    }

    Optional<SimulatedWorker> findByAddress(String address) {
        return workers.stream().filter(worker -> worker.address().equals(address)).findFirst();
    }

    /** Expires worker leases, terminates the machines that are due, and advances the tasks. */
    void advance() {
        workers.forEach(SimulatedWorker::expireLease);
        List.copyOf(workers).stream()
                .filter(SimulatedWorker::isTerminationDue)
                .forEach(worker -> terminate(worker.name()));
        workers.forEach(SimulatedWorker::runTasks);
    }

    void endFaults() {
        for (SimulatedWorker worker : workers) {
            worker.setPartitioned(false);
            worker.setInboundBlocked(false);
            worker.setOutboundBlocked(false);
        }
    }

    // ---- the cloud ----

    /**
     * The cloud terminates a machine together with its tasks. If it is not one that a leader scaled
     * out, a new machine replaces it.
     */
    void terminate(String name) {
        for (int i = 0; i < workers.size(); i++) {
            SimulatedWorker worker = workers.get(i);
            if (worker.name().equals(name)) {
                worker.terminate();
                context.counters().increment(Counter.MACHINES_TERMINATED);
                if (worker.isScaledOut()) {
                    workers.remove(i);
                    return;
                }
                workers.set(i, createWorker(nextNumber++, /* scaledOut= */ false));
            }
        }
    }

    /**
     * Returns the names of the machines that a request launched; empty if there is no capacity. A
     * repeated request gets the same response.
     */
    List<String> scaleOut(ScaleOutRequest request) {
        return machinesByRequest.computeIfAbsent(
                request.name(), name -> launch(request.machineCount()));
    }

    private List<String> launch(int count) {
        int free = context.size().workers() + MAX_EXTRA_MACHINES - workers.size() - bootingCount;
        List<String> names = new ArrayList<>();
        for (int i = 0; i < Math.min(free, count); i++) {
            names.add("vm-" + nextNumber++);
            bootingCount++;
        }
        names.forEach(
                name -> timer.schedule(context.random().nextInt(20) / 10.0, () -> onBooted(name)));
        return names;
    }

    private void onBooted(String name) {
        bootingCount--;
        workers.add(
                createWorker(
                        Integer.parseInt(name.substring("vm-".length())), /* scaledOut= */ true));
        context.counters().increment(Counter.MACHINES_SCALED_OUT);
    }

    List<CloudInstance> instances() {
        return workers.stream().map(this::instance).toList();
    }

    private CloudInstance instance(SimulatedWorker worker) {
        return new CloudInstance(
                worker.name(),
                worker.address(),
                /* machineType= */ "m",
                /* zone= */ "a",
                /* spot= */ false,
                CloudInstance.InstanceState.RUNNING,
                /* ageSeconds= */ context.nowSeconds());
    }

    // ---- tasks ----

    /** Returns the attempts that run on all workers, each by its task and attempt id. */
    Set<String> runningAttempts() {
        Set<String> running = new TreeSet<>();
        for (SimulatedWorker worker : workers) {
            worker.attempts()
                    .forEach((task, id) -> running.add(SimulatedTasks.attemptKey(task, id)));
        }
        return running;
    }

    /** Finishes a task that runs on the worker. All tasks of a gang finish together. */
    void finishTaskOn(SimulatedWorker worker) {
        worker.attempts().keySet().stream()
                .filter(task -> mayFinish(task, worker.attempts().get(task)))
                .findFirst()
                .ifPresent(task -> finish(task, worker));
    }

    /** A task that runs on the worker exits with an error. */
    void failTaskOn(SimulatedWorker worker) {
        worker.attempts().keySet().stream()
                .findFirst()
                .ifPresent(task -> worker.exit(task, ExitReason.ERROR, false));
    }

    private boolean mayFinish(String task, long attempt) {
        return !SimulatedTasks.isGangTask(task) || isGangComplete(task, attempt);
    }

    private void finish(String task, SimulatedWorker worker) {
        if (SimulatedTasks.isGangTask(task)) {
            finishGang(SimulatedTasks.jobOf(task));
        } else {
            worker.exit(task, ExitReason.DONE, false);
            tasks.onDone(task);
        }
    }

    private void finishGang(String jobId) {
        for (int i = 0; i < SimulatedTasks.GANG_SIZE; i++) {
            tasks.onDone(SimulatedTasks.taskName(jobId, i));
        }
        for (SimulatedWorker worker : workers) {
            List.copyOf(worker.attempts().keySet()).stream()
                    .filter(task -> SimulatedTasks.jobOf(task).equals(jobId))
                    .forEach(task -> worker.exit(task, ExitReason.DONE, false));
        }
        context.counters().increment(Counter.GANGS_DONE);
    }

    @Override
    public boolean isGangComplete(String task, long attemptId) {
        String jobId = SimulatedTasks.jobOf(task);
        int running = 0;
        for (SimulatedWorker worker : workers) {
            for (Map.Entry<String, Long> attempt : worker.attempts().entrySet()) {
                String other = attempt.getKey();
                if (SimulatedTasks.jobOf(other).equals(jobId)
                        && attempt.getValue() == attemptId
                        && !worker.isSaving(other)) {
                    running++;
                }
            }
        }
        return running == SimulatedTasks.GANG_SIZE;
    }

    @Override
    public void onTaskStarting(String task, SimulatedWorker worker) {
        checker.checkTaskStart(task, worker, workers);
        context.counters().increment(Counter.TASKS_STARTED);
        queueWaits.onStarted(SimulatedTasks.jobOf(task), context.nowSeconds());
    }

    @Override
    public void onTaskRunning() {
        checker.checkTeamLimit(workers);
    }
}
