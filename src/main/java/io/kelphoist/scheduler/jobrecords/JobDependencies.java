package io.kelphoist.scheduler.jobrecords;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.kelphoist.model.Priority;
import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.cluster.JobRegistry;
import io.kelphoist.scheduler.spi.SchedulerOutput;
import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.objects.ReferenceLinkedOpenHashSet;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The graph of dependencies between jobs. A job becomes ready when all its dependencies are stored
 * as done, is cancelled when one of its dependencies is cancelled, and passes its urgency on to its
 * dependencies. No method is recursive, and the cost of an event is proportional to the number of
 * edges that it visits. Owns the edges and the cached ends of jobs.
 */
public final class JobDependencies {
    private static final Logger LOG = LoggerFactory.getLogger(JobDependencies.class);

    /** How many ends of jobs are cached; others are read from the state store. */
    private static final int MAX_CACHED_ENDS = 20_000;

    /**
     * The most cancellation writes in flight, and the most record reads that one call of {@link
     * #sendDueRequests} requests.
     */
    private static final int MAX_REQUESTS = 32;

    /**
     * Time after which a record is read again if its job was neither registered nor ended since.
     */
    private static final double READ_RETRY_SECONDS = 5;

    /** Time after which a record is read again that was missing or unreadable. */
    private static final double NOT_FOUND_RETRY_SECONDS = 60;

    /** How a job ended and, if it is done, when its end was stored. */
    private record JobEnd(boolean done, double storedAtSeconds) {}

    private final JobRegistry jobs;
    private final SchedulerOutput output;
    private final Cache<String, JobEnd> endsByJobId =
            CacheBuilder.newBuilder().maximumSize(MAX_CACHED_ENDS).concurrencyLevel(1).build();

    /** The dependents of each job whose end is not cached, by the id of that job. */
    private final Object2ObjectOpenHashMap<String, Set<Job>> dependentsByJobId =
            new Object2ObjectOpenHashMap<>();

    /**
     * When to read the record of each dependency that is not registered as unfinished and has no
     * cached end.
     */
    private final Map<String, Double> readDueAtSecondsByJobId = new HashMap<>();

    /** Jobs whose cancellation is not stored yet. */
    private final Set<Job> cancellingJobs = new ReferenceLinkedOpenHashSet<>();

    private int cancellationsInFlight;

    /** Creates an empty graph for the jobs of a term. */
    public JobDependencies(JobRegistry jobs, SchedulerOutput output) {
        this.jobs = jobs;
        this.output = output;
    }

    /**
     * Adds a job that was registered now. It becomes ready at once unless one of its dependencies
     * is not stored as done; if one is cancelled, so is the job.
     */
    void onJobAdded(Job job, double nowSeconds) {
        readDueAtSecondsByJobId.remove(job.spec().id());
        boolean dependencyCancelled = false;
        for (String dependencyId : job.spec().dependencies()) {
            JobEnd end = endsByJobId.getIfPresent(dependencyId);
            if (end == null) {
                addUnmetDependency(job, dependencyId, nowSeconds);
            } else if (end.done) {
                job.postponeReadyTime(end.storedAtSeconds);
            } else {
                dependencyCancelled = true;
            }
        }
        for (Job dependent : dependentsByJobId.getOrDefault(job.spec().id(), Set.of())) {
            if (dependent.isOpen() && isAcceptedBefore(job, dependent)) {
                job.inheritUrgency(dependent);
            }
        }
        if (dependencyCancelled) {
            cancelWithDependents(List.of(job));
        } else {
            propagateUrgency(job);
            if (!job.hasUnmetDependencies()) {
                job.transitionTo(Job.State.ACTIVE);
            }
        }
    }

    /**
     * Adds a dependency whose end is not cached. Its record is read, unless the dependency is
     * registered and its end will be received.
     */
    private void addUnmetDependency(Job job, String dependencyId, double nowSeconds) {
        job.addUnmetDependency();
        dependentsByJobId
                .computeIfAbsent(dependencyId, ignoredId -> new ReferenceLinkedOpenHashSet<>())
                .add(job);
        Job dependency = jobs.get(dependencyId);
        if (dependency == null || dependency.hasEnded()) {
            readDueAtSecondsByJobId.putIfAbsent(dependencyId, nowSeconds);
        } else if (!isAcceptedBefore(dependency, job)) {
            LOG.error(
                    "dependency accepted after its dependent, dependent keeps waiting: job={} dependency={}",
                    job.spec().id(),
                    dependencyId);
        }
    }

    /**
     * Whether the dependency was accepted before its dependent, which holds for every submission.
     * Records that contradict this may form a cycle, so no urgency is passed on between their jobs.
     */
    private static boolean isAcceptedBefore(Job dependency, Job dependent) {
        return dependency.record().version() < dependent.record().version();
    }

    /**
     * Handles the stored end of a job: activates or cancels its dependents. The job itself need not
     * be registered.
     *
     * @param done true if the job is done, false if it is cancelled
     * @param storedAtSeconds when the end of a done job was stored, on the same clock as {@code
     *     nowSeconds}; the ready time of the dependents is not earlier. Not used if the job is
     *     cancelled
     */
    void onJobEnded(String jobId, boolean done, double storedAtSeconds, double nowSeconds) {
        endsByJobId.put(jobId, new JobEnd(done, storedAtSeconds));
        readDueAtSecondsByJobId.remove(jobId);
        Job job = jobs.get(jobId);
        if (job != null) {
            if (cancellingJobs.remove(job) && job.recordState().isEndBeingStored()) {
                cancellationsInFlight--;
            }
            removeDependent(job);
        }
        Set<Job> waitingJobs = dependentsByJobId.remove(jobId);
        if (waitingJobs == null) {
            return;
        }
        if (!done) {
            cancelWithDependents(waitingJobs);
            return;
        }
        for (Job dependent : waitingJobs) {
            dependent.onDependencyDone(storedAtSeconds);
            if (!dependent.hasUnmetDependencies() && dependent.transitionTo(Job.State.ACTIVE)) {
                dependent.restartWait(nowSeconds);
                LOG.debug(
                        "job ready: job={} secondsSinceAccepted={}",
                        dependent.spec().id(),
                        Math.round(nowSeconds - dependent.acceptedAtSeconds()));
            }
        }
    }

    /**
     * Handles the proof that a task of the job was started in an earlier term: because a task is
     * started only when all dependencies of its job are stored as done, a waiting job becomes
     * active although the ends of some dependencies are not known here. No effect if one of them is
     * known not to have ended: the version before chains started jobs without regard to them.
     */
    public void onTaskStartProven(Job job) {
        if (job.state() != Job.State.WAITING) {
            return;
        }
        for (String dependencyId : job.spec().dependencies()) {
            if (jobs.contains(dependencyId)) {
                return;
            }
        }
        job.transitionTo(Job.State.ACTIVE);
        LOG.info(
                "job ready because a task of it was started in an earlier term: job={}",
                job.spec().id());
    }

    /**
     * Whether the cancellation of the job was received and is still cached, even if the job itself
     * was never registered: a record older than the cancellation must not register it.
     */
    boolean isCancelled(String jobId) {
        JobEnd end = endsByJobId.getIfPresent(jobId);
        return end != null && !end.done;
    }

    /** Removes a job that has ended from the dependents of its dependencies, with its urgency. */
    private void removeDependent(Job job) {
        for (String dependencyId : job.spec().dependencies()) {
            Set<Job> otherDependents = dependentsByJobId.get(dependencyId);
            if (otherDependents != null
                    && otherDependents.remove(job)
                    && otherDependents.isEmpty()) {
                dependentsByJobId.remove(dependencyId);
                readDueAtSecondsByJobId.remove(dependencyId);
            }
        }
        withdrawUrgency(job);
    }

    /** Cancels jobs and all their direct and transitive dependents. */
    private void cancelWithDependents(Iterable<Job> roots) {
        Deque<Job> queue = new ArrayDeque<>();
        roots.forEach(queue::add);
        List<Job> cancelledJobs = new ArrayList<>();
        while (!queue.isEmpty()) {
            Job job = queue.poll();
            if (job.transitionTo(Job.State.CANCELLING)) {
                LOG.info(
                        "job cancelled because a dependency is cancelled: job={}", job.spec().id());
                cancellingJobs.add(job);
                cancelledJobs.add(job);
                queue.addAll(dependentsByJobId.getOrDefault(job.spec().id(), Set.of()));
            }
        }
        cancelledJobs.forEach(this::withdrawUrgency);
    }

    // ---- urgency ----

    /** Makes all direct and transitive dependencies of the job at least as urgent as the job. */
    private void propagateUrgency(Job job) {
        updateDependencies(job, Job::inheritUrgency);
    }

    /**
     * Recomputes the urgency of the job's direct and transitive dependencies from their other
     * dependents, because the job has ended or is being cancelled.
     */
    private void withdrawUrgency(Job job) {
        updateDependencies(job, (dependency, dependent) -> recomputeUrgency(dependency));
    }

    /**
     * Applies {@code update} to each open dependency of a job, and continues with the dependencies
     * of those jobs that {@code update} has changed.
     */
    private void updateDependencies(Job job, BiPredicate<Job, Job> update) {
        Deque<Job> queue = new ArrayDeque<>(List.of(job));
        while (!queue.isEmpty()) {
            Job dependent = queue.poll();
            for (String dependencyId : dependent.spec().dependencies()) {
                Job dependency = jobs.get(dependencyId);
                if (dependency != null
                        && dependency.isOpen()
                        && isAcceptedBefore(dependency, dependent)
                        && update.test(dependency, dependent)) {
                    queue.add(dependency);
                }
            }
        }
    }

    /**
     * Recomputes the urgency of a job from its own description and its open dependents. Returns
     * whether the urgency has changed.
     */
    private boolean recomputeUrgency(Job dependency) {
        Priority priority = dependency.priority();
        double latestFinishAtSeconds = dependency.latestFinishAtSeconds();
        dependency.resetUrgency();
        for (Job dependent : dependentsByJobId.getOrDefault(dependency.spec().id(), Set.of())) {
            if (dependent.isOpen() && isAcceptedBefore(dependency, dependent)) {
                dependency.inheritUrgency(dependent);
            }
        }
        return dependency.priority() != priority
                || dependency.latestFinishAtSeconds() != latestFinishAtSeconds;
    }

    // ---- requests to the state store ----

    /** Requests the writes of cancellations and the reads of missing records that are due. */
    public void sendDueRequests(double nowSeconds) {
        for (Job job : cancellingJobs) {
            if (cancellationsInFlight >= MAX_REQUESTS) {
                break;
            }
            if (!job.recordState().isEndBeingStored()) {
                job.recordState().beginStoringEnd();
                cancellationsInFlight++;
                output.storeCancelled(job.record());
            }
        }
        int readCount = 0;
        for (Iterator<Map.Entry<String, Double>> entries =
                        readDueAtSecondsByJobId.entrySet().iterator();
                entries.hasNext() && readCount < MAX_REQUESTS; ) {
            Map.Entry<String, Double> entry = entries.next();
            if (nowSeconds >= entry.getValue()) {
                entry.setValue(nowSeconds + READ_RETRY_SECONDS);
                readCount++;
                output.readJob(entry.getKey());
            }
        }
    }

    /** Handles a write of a cancellation that failed or has an unknown outcome: it is repeated. */
    void onCancellationNotStored(Job job) {
        if (cancellingJobs.contains(job)) {
            cancellationsInFlight--;
        }
    }

    /**
     * Handles a dependency that has no readable record. Whether it is done is unknown, so its
     * dependents keep waiting, and its record is read again after {@link #NOT_FOUND_RETRY_SECONDS}.
     * No effect if no job waits for it any more, or if it was registered or ended meanwhile.
     */
    public void onJobNotFound(String jobId, double nowSeconds) {
        if (readDueAtSecondsByJobId.containsKey(jobId)) {
            readDueAtSecondsByJobId.put(jobId, nowSeconds + NOT_FOUND_RETRY_SECONDS);
            dependentsByJobId
                    .getOrDefault(jobId, Set.of())
                    .forEach(
                            job ->
                                    LOG.error(
                                            "dependency has no readable record, job keeps waiting: job={} dependency={}",
                                            job.spec().id(),
                                            jobId));
        }
    }
}
