package io.kelphoist.events;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableSortedSet;
import io.kelphoist.model.JobOwner;
import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobStatus;
import io.kelphoist.scheduler.spi.TaskEvent;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Simulates a state store with revisions, the event brokers of three controllers that apply changes
 * with a delay, a leader whose transient events are delayed or lost, and clients that read
 * irregularly, disconnect and reconnect to another controller. Each client checks its events.
 */
final class EventBrokerSimulation {
    private static final int CONTROLLERS = 3;
    private static final int JOBS = 12;

    /** Small limits, so that with 4 buffered events and 3 retained ended jobs many are dropped. */
    private static final EventBrokerLimits LIMITS = new EventBrokerLimits(50, 50, 4, 3, 1000);

    private record Change(long revision, List<JobRecord> jobs) {}

    private final TreeMap<String, JobRecord> stored = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final EventBroker[] brokers = new EventBroker[CONTROLLERS];

    /** The number of changes that each broker has applied; negative before its first snapshot. */
    private final int[] appliedChanges = new int[CONTROLLERS];

    private final ArrayDeque<Runnable> pendingTasks = new ArrayDeque<>();
    private final List<Client> clients = new ArrayList<>();
    private final CursorSigner signer =
            new CursorSigner(List.of(new CursorSigner.Key(1, new byte[32])));
    private TaskEventLog eventLog = new TaskEventLog(4);
    private final long[] nextSequences = new long[CONTROLLERS];

    /** The log from which each broker applied transient events last; null after a restart. */
    private final TaskEventLog[] appliedLogs = new TaskEventLog[CONTROLLERS];

    private long revision = 10;
    private int jobCount;

    EventBrokerSimulation() {
        for (int i = 0; i < CONTROLLERS; i++) {
            restart(i);
        }
        clients.add(new Client(new SubscriptionFilter.ByOwner(null, null)));
        clients.add(new Client(new SubscriptionFilter.ByOwner(ImmutableSortedSet.of("red"), null)));
        clients.add(
                new Client(
                        new SubscriptionFilter.ByJobIds(
                                ImmutableSortedSet.of("job-0", "job-3", "job-7"))));
        clients.add(new Client(new SubscriptionFilter.ByJobIds(ImmutableSortedSet.of("job-1"))));
    }

    /**
     * A client that resumes from its last cursor, null before the first message. Its subscription
     * is null while it is disconnected. The demand is the number of events that it is ready for.
     */
    final class Client implements Subscriber {
        private final SubscriptionFilter filter;
        private byte[] cursor;
        private EventBroker broker;
        private Subscription subscription;
        private int demand;
        private boolean complete;
        private long startRevision = -1;
        private final Map<String, String> acceptedJobs = new HashMap<>();
        private final Set<String> endedJobs = new HashSet<>();
        private final List<String> received = new ArrayList<>();

        Client(SubscriptionFilter filter) {
            this.filter = filter;
        }

        @Override
        public boolean isReady() {
            return demand > 0;
        }

        @Override
        public void onEvent(JobEvent event, Cursor nextCursor) {
            demand--;
            received.add(event.jobId() + " " + event.type());
            assertFalse(
                    endedJobs.contains(event.jobId()),
                    () -> "expected no event after the end of " + event.jobId() + ": " + received);
            assertTrue(
                    filter.matches(event.jobId(), event.owner()),
                    () -> "expected events of selected jobs only: " + received);
            if (event.type().isFinal()) {
                endedJobs.add(event.jobId());
                assertMatchesStoredStatus(event);
            } else if (event.type() instanceof JobEventType.Accepted) {
                assertEquals(
                        null,
                        acceptedJobs.put(event.jobId(), "accepted"),
                        () -> "expected one acceptance of each job: " + received);
            } else {
                assertTrue(
                        acceptedJobs.containsKey(event.jobId()),
                        () -> "expected the acceptance as first event of a job: " + received);
            }
            cursor = signer.encode(nextCursor);
            startRevision = Math.max(startRevision, nextCursor.startRevision());
        }

        private void assertMatchesStoredStatus(JobEvent event) {
            JobStatus status = stored.get(event.jobId()).status();
            assertEquals(
                    status == JobStatus.DONE,
                    event.type() instanceof JobEventType.Done,
                    () -> "expected the stored status " + status + ": " + received);
            assertEquals(
                    status == JobStatus.CANCELLED,
                    event.type() instanceof JobEventType.Cancelled,
                    () -> "expected the stored status " + status + ": " + received);
        }

        @Override
        public void onStoreReachabilityChanged(boolean storeReachable, Cursor nextCursor) {
            cursor = signer.encode(nextCursor);
        }

        @Override
        public void onEnded(EndReason reason, Cursor nextCursor) {
            assertTrue(
                    reason != EndReason.CURSOR_AHEAD, "expected an accepted cursor: " + received);
            subscription = null;
            cursor = signer.encode(nextCursor);
            startRevision = Math.max(startRevision, nextCursor.startRevision());
            complete |= reason == EndReason.COMPLETE;
        }

        void connect(int controller) {
            if (subscription != null) {
                broker.onClosed(subscription);
                subscription = null;
            }
            broker = brokers[controller];
            try {
                Subscription opened =
                        broker.subscribe(
                                filter,
                                cursor == null
                                        ? Optional.empty()
                                        : Optional.of(signer.decode(cursor, filter)),
                                readNamedJobs(),
                                "c" + clients.indexOf(this),
                                this,
                                0);
                onConnected(opened);
            } catch (EventBroker.TooManyStreamsException | CursorSigner.InvalidCursorException e) {
                throw new AssertionError("expected a subscription for " + filter, e);
            }
        }

        /** Reads the named jobs from the store, as the gRPC server does before it subscribes. */
        private List<JobRecord> readNamedJobs() {
            return filter instanceof SubscriptionFilter.ByJobIds byJobIds
                    ? byJobIds.jobIds().stream()
                            .map(stored::get)
                            .filter(found -> found != null)
                            .toList()
                    : List.of();
        }

        private void onConnected(Subscription opened) {
            subscription = opened.state() == Subscription.State.ENDED ? null : opened;
            if (cursor == null
                    && subscription != null
                    && opened.state() != Subscription.State.AWAITING_STORE) {
                cursor = signer.encode(opened.cursor());
                startRevision = opened.startRevision();
            }
        }

        /** Reads at most this many events, and leaves a demand of at most one. */
        void read(int maxEvents) {
            demand = maxEvents;
            if (subscription != null) {
                broker.onReady(subscription, 0);
            }
            demand = Math.max(0, Math.min(demand, 1));
        }

        /** Checks that every final event of a selected job has been delivered. */
        private void assertReceivedFinalEvents() {
            if (subscription != null) {
                startRevision = Math.max(startRevision, subscription.startRevision());
            }
            for (JobRecord job : stored.values()) {
                if (isSelected(job) && job.status().isFinal()) {
                    assertTrue(
                            endedJobs.contains(job.id()),
                            () -> "expected the final event of " + job + ", received " + received);
                }
            }
            if (filter instanceof SubscriptionFilter.ByJobIds byJobIds
                    && byJobIds.jobIds().stream().allMatch(EventBrokerSimulation.this::isFinal)) {
                assertTrue(complete, () -> "expected a complete subscription: " + received);
            }
        }

        private boolean isSelected(JobRecord job) {
            return filter.matches(job.id(), job.owner())
                    && (filter instanceof SubscriptionFilter.ByJobIds
                            || job.version() > startRevision);
        }
    }

    /** Replaces the broker by an empty one, as a restart of its controller does. */
    private void restart(int controller) {
        EventBroker previous = brokers[controller];
        appliedChanges[controller] = -1;
        appliedLogs[controller] = null;
        brokers[controller] =
                new EventBroker(
                        LIMITS,
                        callback -> {
                            EventBroker.Snapshot snapshot = snapshot();
                            pendingTasks.add(() -> callback.accept(snapshot));
                        },
                        pendingTasks::add);
        for (Client client : clients) {
            if (client.broker == previous && client.subscription != null) {
                previous.onClosed(client.subscription);
                client.subscription = null;
            }
        }
    }

    /** Returns all records; like in a paged read, some may be newer than the revision. */
    private EventBroker.Snapshot snapshot() {
        return new EventBroker.Snapshot(
                revision - (revision % 3 == 0 ? 1 : 0), List.copyOf(stored.values()));
    }

    private static JobOwner owner(int number) {
        return new JobOwner(number % 2 == 0 ? "red" : "blue", "c" + number % 3);
    }

    private void write(List<JobRecord> records) {
        revision++;
        List<JobRecord> written =
                records.stream()
                        .map(
                                job ->
                                        new JobRecord(
                                                job.id(),
                                                null,
                                                job.status(),
                                                job.timestampMillis(),
                                                revision,
                                                job.owner()))
                        .toList();
        written.forEach(job -> stored.put(job.id(), job));
        changes.add(new Change(revision, written));
    }

    private void endJob(int number, JobStatus finalStatus) {
        JobRecord job = stored.get("job-" + number);
        if (job != null && !job.status().isFinal()) {
            write(List.of(new JobRecord(job.id(), null, finalStatus, 0, 0, job.owner())));
            eventLog.append(job.id(), new TaskEvent.JobEnded(true), 0, 0, 0);
        }
    }

    private void appendTaskEvent(int number, TaskEvent event) {
        JobRecord job = stored.get("job-" + number);
        if (job != null && !job.status().isFinal()) {
            eventLog.append(job.id(), event, 0, 1, 0);
        }
    }

    private void applyChanges(int controller) {
        EventBroker broker = brokers[controller];
        if (appliedChanges[controller] < 0) {
            EventBroker.Snapshot snapshot = snapshot();
            broker.onSnapshot(snapshot, 0);
            appliedChanges[controller] =
                    (int)
                            changes.stream()
                                    .filter(change -> change.revision() <= snapshot.revision())
                                    .count();
            return;
        }
        List<JobRecord> changedRecords = new ArrayList<>();
        changes.subList(appliedChanges[controller], changes.size())
                .forEach(change -> changedRecords.addAll(change.jobs()));
        appliedChanges[controller] = changes.size();
        broker.onRecordsChanged(revision, changedRecords, 0);
    }

    private void applyTransientEvents(int controller) {
        boolean newLog = appliedLogs[controller] != eventLog;
        TaskEventLog.Update update = eventLog.updateSince(newLog ? -1 : nextSequences[controller]);
        appliedLogs[controller] = eventLog;
        nextSequences[controller] = update.nextSequence();
        if (update.isSnapshot()) {
            brokers[controller].resetTransientEvents(update.events(), 0);
        } else {
            brokers[controller].onTransientEvents(update.events(), 0);
        }
    }

    /** Executes an action: {@code step % 16} selects it, {@code step / 16} its arguments. */
    void step(int step) {
        int job = step / 16 % JOBS;
        int controller = step / 16 % CONTROLLERS;
        Client client = clients.get(step / 16 % clients.size());
        switch (step % 16) {
            case 0, 1 -> acceptJobs(step / 16 % 2 + 1);
            case 2, 3 -> endJob(job, JobStatus.DONE);
            case 4 -> endJob(job, JobStatus.CANCELLED);
            case 5 -> appendTaskEvent(job, new TaskEvent.TaskRunning(0, "m" + step % 5));
            case 6 ->
                    appendTaskEvent(
                            job,
                            new TaskEvent.TaskStopped(
                                    0, "m" + step % 5, TaskEvent.Cause.MACHINE_GONE));
            case 7 -> appendTaskEvent(job, new TaskEvent.CapacityReserved(step % 3));
            case 8, 9 -> applyChanges(controller);
            case 10 -> applyTransientEvents(controller);
            case 11 -> client.connect(step / 64 % CONTROLLERS);
            case 12 -> client.read(step / 64 % 3);
            case 13 -> {
                if (step / 64 % 2 == 0) {
                    restart(controller);
                } else {
                    eventLog = new TaskEventLog(4);
                }
            }
            case 14 -> brokers[controller].setStoreReachable(step / 64 % 2 == 0, 0);
            default -> runNextTask();
        }
    }

    /** Accepts at most this many jobs in one transaction. */
    private void acceptJobs(int maxJobs) {
        if (jobCount >= JOBS) {
            return;
        }
        List<JobRecord> batch = new ArrayList<>();
        for (int i = 0; i < maxJobs && jobCount < JOBS; i++, jobCount++) {
            batch.add(
                    new JobRecord(
                            "job-" + jobCount, null, JobStatus.ACTIVE, 0, 0, owner(jobCount)));
        }
        write(batch);
    }

    private void runNextTask() {
        Runnable next = pendingTasks.poll();
        if (next != null) {
            next.run();
        }
    }

    /** Delivers all changes and reads all events, then checks what each client has received. */
    void settle() {
        for (int round = 0; round < 40; round++) {
            for (int controller = 0; controller < CONTROLLERS; controller++) {
                applyChanges(controller);
                applyTransientEvents(controller);
            }
            for (Client client : clients) {
                if (client.subscription == null && !client.complete) {
                    client.connect(round % CONTROLLERS);
                }
                client.read(1000);
            }
            while (!pendingTasks.isEmpty()) {
                pendingTasks.poll().run();
            }
        }
        clients.forEach(Client::assertReceivedFinalEvents);
    }

    private boolean isFinal(String jobId) {
        return stored.containsKey(jobId) && stored.get(jobId).status().isFinal();
    }

    int receivedEventCount() {
        return clients.stream().mapToInt(client -> client.received.size()).sum();
    }
}
