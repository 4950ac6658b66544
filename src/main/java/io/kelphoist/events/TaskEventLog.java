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
 * The leader's log of transient job events, for one term: turns task events into job events,
 * numbers them and keeps the last ones for the other controllers, which poll for what is new.
 *
 * <p>Owns what is remembered of unfinished jobs. Runs on the event loop.
 */
public final class TaskEventLog {
    /**
     * What is new since a sequence number.
     *
     * @param nextSequence the number to ask with next
     * @param isSnapshot whether the events are the latest ones of all unfinished jobs, as not all
     *     events since the number are kept
     */
    public record Update(long nextSequence, boolean isSnapshot, List<TransientEvent> events) {}

    private record StoppedTask(String machine, TaskEvent.Cause cause) {}

    /** What is remembered of an unfinished job. */
    private static final class JobHistory {
        private final Map<Integer, StoppedTask> stoppedTasks = new HashMap<>();

        /** Null until there was one. */
        private TransientEvent lastEvent;
    }

    private final int maxEvents;
    private final Map<String, JobHistory> historyByJob = new HashMap<>();
    private final ArrayDeque<TransientEvent> recentEvents = new ArrayDeque<>();
    private long nextSequence;

    /**
     * @param maxEvents the number of events that are kept for other controllers
     */
    public TaskEventLog(int maxEvents) {
        this.maxEvents = maxEvents;
    }

    /**
     * Appends the job event that follows from a task event.
     *
     * @param doneTasks tasks of the job that are done after the event
     * @param runningTasks tasks of the job that run after the event
     * @param atMillis time of the event in ms since the epoch
     * @return the job event, or empty if there is none to be published
     */
    public Optional<TransientEvent> append(
            String jobId, TaskEvent taskEvent, int doneTasks, int runningTasks, long atMillis) {
        if (taskEvent instanceof TaskEvent.JobEnded) {
            // The job's end is published from its stored record.
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
        keep(event);
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
        if (taskEvent instanceof TaskEvent.RoomReserved reserved) {
            return new JobEventType.CapacityReserved(reserved.machineCount());
        }
        return taskEvent instanceof TaskEvent.WaitingForDependencies
                ? new JobEventType.WaitingForDependencies()
                : new JobEventType.Progress();
    }

    /**
     * @param previousStop null if the task has not run before
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

    private void keep(TransientEvent event) {
        recentEvents.add(event);
        nextSequence++;
        if (recentEvents.size() > maxEvents) {
            recentEvents.poll();
        }
    }

    /**
     * Returns the events from a sequence number on, or a snapshot if not all of them are kept.
     *
     * @param sequence {@link Update#nextSequence} of the last update; negative for a snapshot
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

    /** Returns the latest event of each unfinished job that has one. */
    public List<TransientEvent> snapshot() {
        return historyByJob.values().stream()
                .map(history -> history.lastEvent)
                .filter(Objects::nonNull)
                .toList();
    }

    /** The text of a cause as clients and other controllers get it. */
    private static String causeText(TaskEvent.Cause cause) {
        return switch (cause) {
            case STOPPED -> "stopped";
            case MACHINE_GONE -> "machine gone";
            case FAILED -> "failed";
            case GANG -> "gang";
        };
    }
}
