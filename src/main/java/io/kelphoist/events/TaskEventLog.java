package io.kelphoist.events;

import io.kelphoist.scheduler.spi.TaskEvent;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The leader's log of transient events for one term. Converts the scheduler's task events into
 * transient events, assigns them sequence numbers from 0 on and retains the latest ones for the
 * other controllers, which poll for new events.
 *
 * <p>Owns the history of unfinished jobs from which the transient events are derived. Confined to
 * the event loop.
 */
public final class TaskEventLog {
    /**
     * The events since a sequence number.
     *
     * @param nextSequence the sequence number for the next request
     * @param isSnapshot whether {@code events} has the latest event of each unfinished job instead,
     *     because some events since the sequence number are no longer retained
     */
    public record Update(long nextSequence, boolean isSnapshot, List<TransientEvent> events) {}

    private record StoppedTask(String machine, TaskEvent.Cause cause) {}

    /** The history of an unfinished job that is needed to derive its next events. */
    private static final class JobHistory {
        /** By task index: tasks that stopped and have not run again since. */
        private final Map<Integer, StoppedTask> stoppedTasks = new HashMap<>();

        /** Null before the first event. */
        private TransientEvent lastEvent;
    }

    private final int maxEvents;
    private final Map<String, JobHistory> historyByJob = new HashMap<>();
    private final ArrayDeque<TransientEvent> recentEvents = new ArrayDeque<>();
    private long nextSequence;

    /**
     * Creates an empty log.
     *
     * @param maxEvents the number of events that are retained for other controllers
     */
    public TaskEventLog(int maxEvents) {
        this.maxEvents = maxEvents;
    }

    /**
     * Converts a task event into a transient event and appends it.
     *
     * @param doneTasks number of the job's tasks that are done after the event
     * @param runningTasks number of the job's tasks that run after the event
     * @param atMillis time of the event in ms since the epoch
     * @return the transient event, or empty if the task event is not published: the job has ended,
     *     or the event repeats the last reservation of resources
     */
    public Optional<TransientEvent> append(
            String jobId, TaskEvent taskEvent, int doneTasks, int runningTasks, long atMillis) {
        if (taskEvent instanceof TaskEvent.JobEnded) {
            // The job's final event is derived from its stored record.
            historyByJob.remove(jobId);
            return Optional.empty();
        }
        JobHistory history = historyByJob.computeIfAbsent(jobId, key -> new JobHistory());
        JobEventType type = toJobEventType(taskEvent, history);
        if (type instanceof JobEventType.CapacityReserved
                && history.lastEvent != null
                && type.equals(history.lastEvent.type())) {
            return Optional.empty();
        }
        TransientEvent event = new TransientEvent(jobId, type, doneTasks, runningTasks, atMillis);
        history.lastEvent = event;
        retain(event);
        return Optional.of(event);
    }

    private static JobEventType toJobEventType(TaskEvent taskEvent, JobHistory history) {
        if (taskEvent instanceof TaskEvent.TaskRunning running) {
            return startedOrMoved(running, history.stoppedTasks.remove(running.taskIndex()));
        }
        if (taskEvent instanceof TaskEvent.TaskStopped stopped) {
            history.stoppedTasks.put(
                    stopped.taskIndex(), new StoppedTask(stopped.machineName(), stopped.cause()));
            return new JobEventType.Stopped(
                    stopped.taskIndex(), stopped.machineName(), causeText(stopped.cause()));
        }
        if (taskEvent instanceof TaskEvent.CapacityReserved reserved) {
            return new JobEventType.CapacityReserved(reserved.machineCount());
        }
        return taskEvent instanceof TaskEvent.WaitingForDependencies
                ? new JobEventType.WaitingForDependencies()
                : new JobEventType.Progress();
    }

    /**
     * Returns the event of a task that has started to run.
     *
     * @param previousStop null if the task has not stopped before in this term
     */
    private static JobEventType startedOrMoved(
            TaskEvent.TaskRunning running, StoppedTask previousStop) {
        return previousStop == null
                ? new JobEventType.Started(running.taskIndex(), running.machineName())
                : new JobEventType.Moved(
                        running.taskIndex(),
                        previousStop.machine(),
                        running.machineName(),
                        causeText(previousStop.cause()));
    }

    private void retain(TransientEvent event) {
        recentEvents.add(event);
        nextSequence++;
        if (recentEvents.size() > maxEvents) {
            recentEvents.poll();
        }
    }

    /**
     * Returns the events from a sequence number on; none if it is the next one to be assigned.
     * Returns a snapshot instead if some of them are no longer retained, or if the number is
     * greater than the next one.
     *
     * @param sequence {@link Update#nextSequence} of the last update; negative to get a snapshot
     */
    public Update updateSince(long sequence) {
        long oldestSequence = nextSequence - recentEvents.size();
        if (sequence < oldestSequence || sequence > nextSequence) {
            return new Update(nextSequence, true, snapshot());
        }
        List<TransientEvent> newEvents = new ArrayList<>();
        long eventSequence = oldestSequence;
        for (TransientEvent event : recentEvents) {
            if (eventSequence >= sequence) {
                newEvents.add(event);
            }
            eventSequence++;
        }
        return new Update(nextSequence, false, newEvents);
    }

    /** Returns the latest event of each unfinished job that has one, in no particular order. */
    public List<TransientEvent> snapshot() {
        return historyByJob.values().stream()
                .map(history -> history.lastEvent)
                .filter(Objects::nonNull)
                .toList();
    }

    /** Returns a cause as it is written in messages to clients and other controllers. */
    private static String causeText(TaskEvent.Cause cause) {
        return switch (cause) {
            case STOPPED -> "stopped";
            case MACHINE_GONE -> "machine gone";
            case FAILED -> "failed";
            case GANG -> "gang";
        };
    }
}
