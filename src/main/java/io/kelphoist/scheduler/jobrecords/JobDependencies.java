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
 * The dependencies between jobs. A job becomes ready when all its dependencies are stored as done,
 * is cancelled when one of them is, and passes its urgency on to them. Nothing here recurses: each
 * event costs what the edges that it touches cost. Owns the known ends of jobs and the edges.
 */
public final class JobDependencies {
    private static final Logger LOG = LoggerFactory.getLogger(JobDependencies.class);

    /** How many ends of jobs are remembered; others are read from the state service. */
    private static final int MAX_REMEMBERED_ENDS = 20_000;

    /** Cancellations that are being stored, and records that are read in one run. */
    private static final int MAX_IN_FLIGHT = 32;

    private static final double READ_RETRY_SECONDS = 5;
    private static final double NOT_FOUND_RETRY_SECONDS = 60;

    /** How a job ended, and when that was stored. */
    private record JobEnd(boolean done, double storedAtSeconds) {}

    private final JobRegistry jobs;
    private final SchedulerOutput output;
    private final Cache<String, JobEnd> endsByJobId =
            CacheBuilder.newBuilder().maximumSize(MAX_REMEMBERED_ENDS).concurrencyLevel(1).build();

    /** By the id of a job that is not known to have ended: its dependents. */
    private final Object2ObjectOpenHashMap<String, Set<Job>> dependentsByJobId =
            new Object2ObjectOpenHashMap<>();

    /** Dependencies without a known record, and when to read it. */
    private final Map<String, Double> readDueAtSeconds = new HashMap<>();

    /** Jobs whose cancellation is to be stored. */
    private final Set<Job> cancellingJobs = new ReferenceLinkedOpenHashSet<>();

    private int cancellationsInFlight;

    /** Creates the dependencies between a term's jobs. */
    public JobDependencies(JobRegistry jobs, SchedulerOutput output) {
        this.jobs = jobs;
        this.output = output;
    }

    /** A job became known; it becomes ready now unless it has to wait. */
    void onJobAdded(Job job, double nowSeconds) {
        readDueAtSeconds.remove(job.spec().id());
        boolean dependencyCancelled = false;
        for (String dependencyId : job.spec().dependencies()) {
            JobEnd end = endsByJobId.getIfPresent(dependencyId);
            if (end == null) {
                job.addUnmetDependency();
                dependentsByJobId
                        .computeIfAbsent(
                                dependencyId, ignoredId -> new ReferenceLinkedOpenHashSet<>())
                        .add(job);
                Job dependency = jobs.get(dependencyId);
                if (dependency == null) {
                    readDueAtSeconds.putIfAbsent(dependencyId, nowSeconds);
                } else if (!isAcceptedBefore(dependency, job)) {
                    LOG.error(
                            "dependency was accepted after its dependent, which waits: job={} dependency={}",
                            job.spec().id(),
                            dependencyId);
                }
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
     * Dependencies are accepted before their dependents. Records that say otherwise may form a
     * cycle, and no urgency is passed on there.
     */
    private static boolean isAcceptedBefore(Job dependency, Job dependent) {
        return dependency.record().version() < dependent.record().version();
    }

    /**
     * The end of a job is stored.
     *
     * @param done false: it is cancelled
     */
    void onJobEnded(String jobId, boolean done, double storedAtSeconds, double nowSeconds) {
        endsByJobId.put(jobId, new JobEnd(done, storedAtSeconds));
        readDueAtSeconds.remove(jobId);
        Job job = jobs.get(jobId);
        if (job != null) {
            if (cancellingJobs.remove(job) && job.endBeingStored()) {
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
     * Whether the job is known to be cancelled, even if no record of it was seen: an older record
     * does not bring it back.
     */
    boolean isCancelled(String jobId) {
        JobEnd end = endsByJobId.getIfPresent(jobId);
        return end != null && !end.done;
    }

    /** The job needs its dependencies no more. */
    private void removeDependent(Job job) {
        for (String dependencyId : job.spec().dependencies()) {
            Set<Job> otherDependents = dependentsByJobId.get(dependencyId);
            if (otherDependents != null
                    && otherDependents.remove(job)
                    && otherDependents.isEmpty()) {
                dependentsByJobId.remove(dependencyId);
                readDueAtSeconds.remove(dependencyId);
            }
        }
        withdrawUrgency(job);
    }

    /** Cancels jobs and all their direct and indirect dependents. */
    private void cancelWithDependents(Iterable<Job> roots) {
        Deque<Job> queue = new ArrayDeque<>();
        roots.forEach(queue::add);
        List<Job> cancelledJobs = new ArrayList<>();
        while (!queue.isEmpty()) {
            Job job = queue.poll();
            if (job.transitionTo(Job.State.CANCELLING)) {
                LOG.info("job cancelled with a dependency: job={}", job.spec().id());
                cancellingJobs.add(job);
                cancelledJobs.add(job);
                queue.addAll(dependentsByJobId.getOrDefault(job.spec().id(), Set.of()));
            }
        }
        cancelledJobs.forEach(this::withdrawUrgency);
    }

    // ---- urgency ----

    /** The job's dependencies become as urgent as it is. */
    private void propagateUrgency(Job job) {
        updateDependencies(job, Job::inheritUrgency);
    }

    /** The job is not urgent any more: its dependencies are as urgent as their other dependents. */
    private void withdrawUrgency(Job job) {
        updateDependencies(job, (dependency, dependent) -> recomputeUrgency(dependency));
    }

    /**
     * Follows the edges from a job to its dependencies, and on from those that {@code update}
     * changes.
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

    // ---- requests to the state service ----

    /** Has cancellations stored, and reads records that are missing. */
    public void sendDueRequests(double nowSeconds) {
        for (Job job : cancellingJobs) {
            if (cancellationsInFlight >= MAX_IN_FLIGHT) {
                break;
            }
            if (!job.endBeingStored()) {
                job.beginStoringEnd();
                cancellationsInFlight++;
                output.storeCancelled(job.record());
            }
        }
        int readCount = 0;
        for (Iterator<Map.Entry<String, Double>> entries = readDueAtSeconds.entrySet().iterator();
                entries.hasNext() && readCount < MAX_IN_FLIGHT; ) {
            Map.Entry<String, Double> entry = entries.next();
            if (nowSeconds >= entry.getValue()) {
                entry.setValue(nowSeconds + READ_RETRY_SECONDS);
                readCount++;
                output.readJob(entry.getKey());
            }
        }
    }

    /** Nobody knows whether the cancellation was stored: it is requested again. */
    void onCancellationNotStored(Job job) {
        if (cancellingJobs.contains(job)) {
            cancellationsInFlight--;
        }
    }

    /**
     * No readable record of the job exists: nobody knows whether it is done, and its dependents
     * wait.
     */
    public void onJobNotFound(String jobId, double nowSeconds) {
        if (readDueAtSeconds.containsKey(jobId)) {
            readDueAtSeconds.put(jobId, nowSeconds + NOT_FOUND_RETRY_SECONDS);
            dependentsByJobId
                    .getOrDefault(jobId, Set.of())
                    .forEach(
                            job ->
                                    LOG.error(
                                            "dependency has no record, the job waits: job={} dependency={}",
                                            job.spec().id(),
                                            jobId));
        }
    }
}
