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
 * Simulates a store with revisions, the event brokers of three controllers that learn of changes
 * late, a leader whose transient events are late or lost, and clients that read irregularly,
 * disconnect and reconnect to another controller. Each client checks every event it receives.
 */
final class EventBrokerSimulation {
    private static final int CONTROLLERS = 3;
    private static final int JOBS = 12;
    private static final EventBrokerLimits LIMITS = new EventBrokerLimits(50, 50, 4, 3, 1000);

    private record Change(long revision, List<JobRecord> jobs) {}

    private final TreeMap<String, JobRecord> stored = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final EventBroker[] brokers = new EventBroker[CONTROLLERS];

    /** Number of changes that each broker has applied; negative before its first snapshot. */
    private final int[] appliedChanges = new int[CONTROLLERS];

    private final ArrayDeque<Runnable> pendingTasks = new ArrayDeque<>();
    private final List<Client> clients = new ArrayList<>();
    private final CursorSigner signer =
            new CursorSigner(List.of(new CursorSigner.Key(1, new byte[32])));
    private TaskEventLog taskEvents = new TaskEventLog(4);
    private final long[] nextSequences = new long[CONTROLLERS];
    private final TaskEventLog[] appliedLogs = new TaskEventLog[CONTROLLERS];
    private long revision = 10;
    private int accepted;

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

    final class Client implements Subscriber {
        private final SubscriptionFilter filter;
        private byte[] cursor;
        private EventBroker broker;
        private Subscription subscription;
        private int demand;
        private boolean complete;
        private long startRevision = -1;
        private final Map<String, String> acceptedJobs = new HashMap<>();
        private final Set<String> finalJobs = new HashSet<>();
        private final List<String> received = new ArrayList<>();

        Client(SubscriptionFilter filter) {
            this.filter = filter;
        }

        @Override
        public boolean isReady() {
            return demand > 0;
        }

        @Override
        public void onEvent(JobEvent event, Cursor next) {
            demand--;
            received.add(event.jobId() + " " + event.type());
            assertFalse(
                    finalJobs.contains(event.jobId()),
                    () -> "after the final event of " + event.jobId() + ": " + received);
            assertTrue(
                    filter.matches(event.jobId(), event.owner()),
                    () -> "not requested: " + received);
            if (event.type().isFinal()) {
                finalJobs.add(event.jobId());
                assertMatchesStoredStatus(event);
            } else if (event.type() instanceof JobEventType.Accepted) {
                assertEquals(
                        null,
                        acceptedJobs.put(event.jobId(), "accepted"),
                        () -> "accepted twice: " + received);
            } else {
                assertTrue(
                        acceptedJobs.containsKey(event.jobId()),
                        () -> "before its acceptance: " + received);
            }
            cursor = signer.encode(next);
            startRevision = Math.max(startRevision, next.startRevision());
        }

        private void assertMatchesStoredStatus(JobEvent event) {
            JobStatus status = stored.get(event.jobId()).status();
            assertEquals(
                    status == JobStatus.DONE,
                    event.type() instanceof JobEventType.Done,
                    () -> "not what is stored: " + received);
            assertEquals(
                    status == JobStatus.CANCELLED,
                    event.type() instanceof JobEventType.Cancelled,
                    () -> "not what is stored: " + received);
        }

        @Override
        public void onStoreReachabilityChanged(boolean current, Cursor next) {
            cursor = signer.encode(next);
        }

        @Override
        public void onEnded(EndReason reason, Cursor next) {
            assertTrue(
                    reason != EndReason.CURSOR_AHEAD,
                    () -> "the broker refused a cursor of its own as ahead of the store");
            subscription = null;
            cursor = signer.encode(next);
            startRevision = Math.max(startRevision, next.startRevision());
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
                throw new AssertionError(e);
            }
        }

        /** The gRPC server reads each named job before it subscribes. */
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

        void read(int limit) {
            demand = limit;
            if (subscription != null) {
                broker.onReady(subscription, 0);
            }
            demand = Math.max(0, Math.min(demand, 1));
        }

        /** After all faults have ended, every requested final event has been delivered. */
        private void assertSettled() {
            if (subscription != null) {
                startRevision = Math.max(startRevision, subscription.startRevision());
            }
            for (JobRecord job : stored.values()) {
                if (isRequested(job) && job.status().isFinal()) {
                    assertTrue(
                            finalJobs.contains(job.id()),
                            () -> "final event of " + job + " not delivered: " + received);
                }
            }
            if (filter instanceof SubscriptionFilter.ByJobIds byJobIds
                    && byJobIds.jobIds().stream().allMatch(EventBrokerSimulation.this::isFinal)) {
                assertTrue(complete, () -> "not complete: " + received);
            }
        }

        private boolean isRequested(JobRecord job) {
            return filter.matches(job.id(), job.owner())
                    && (filter instanceof SubscriptionFilter.ByJobIds
                            || job.version() > startRevision);
        }
    }

    /** Replaces the broker by an empty one, as a restart of its controller does. */
    private void restart(int controller) {
        EventBroker old = brokers[controller];
        appliedChanges[controller] = -1;
        appliedLogs[controller] = null;
        brokers[controller] =
                new EventBroker(
                        LIMITS,
                        handler -> {
                            EventBroker.Snapshot now = snapshot();
                            pendingTasks.add(() -> handler.accept(now));
                        },
                        pendingTasks::add);
        for (Client client : clients) {
            if (client.broker == old && client.subscription != null) {
                old.onClosed(client.subscription);
                client.subscription = null;
            }
        }
    }

    /** A paged read: some records may be newer than the revision of the snapshot. */
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

    private void endJob(int number, JobStatus how) {
        JobRecord job = stored.get("job-" + number);
        if (job != null && !job.status().isFinal()) {
            write(List.of(new JobRecord(job.id(), null, how, 0, 0, job.owner())));
            taskEvents.append(job.id(), new TaskEvent.JobEnded(true), 0, 0, 0);
        }
    }

    private void appendTaskEvent(int number, TaskEvent what) {
        JobRecord job = stored.get("job-" + number);
        if (job != null && !job.status().isFinal()) {
            taskEvents.append(job.id(), what, 0, 1, 0);
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
        List<JobRecord> news = new ArrayList<>();
        changes.subList(appliedChanges[controller], changes.size())
                .forEach(change -> news.addAll(change.jobs()));
        appliedChanges[controller] = changes.size();
        broker.onRecordsChanged(revision, news, 0);
    }

    private void applyTaskEvents(int controller) {
        boolean other = appliedLogs[controller] != taskEvents;
        TaskEventLog.Update news = taskEvents.updateSince(other ? -1 : nextSequences[controller]);
        appliedLogs[controller] = taskEvents;
        nextSequences[controller] = news.nextSequence();
        if (news.isSnapshot()) {
            brokers[controller].resetTransientEvents(news.events(), 0);
        } else {
            brokers[controller].onTransientEvents(news.events(), 0);
        }
    }

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
            case 7 -> appendTaskEvent(job, new TaskEvent.RoomReserved(step % 3));
            case 8, 9 -> applyChanges(controller);
            case 10 -> applyTaskEvents(controller);
            case 11 -> client.connect(step / 64 % CONTROLLERS);
            case 12 -> client.read(step / 64 % 3);
            case 13 -> {
                if (step / 64 % 2 == 0) {
                    restart(controller);
                } else {
                    taskEvents = new TaskEventLog(4);
                }
            }
            case 14 -> brokers[controller].setStoreReachable(step / 64 % 2 == 0, 0);
            default -> runNextTask();
        }
    }

    /** Accepts at most this many jobs in one transaction. */
    private void acceptJobs(int limit) {
        if (accepted >= JOBS) {
            return;
        }
        List<JobRecord> batch = new ArrayList<>();
        for (int i = 0; i < limit && accepted < JOBS; i++, accepted++) {
            batch.add(
                    new JobRecord(
                            "job-" + accepted, null, JobStatus.ACTIVE, 0, 0, owner(accepted)));
        }
        write(batch);
    }

    private void runNextTask() {
        Runnable next = pendingTasks.poll();
        if (next != null) {
            next.run();
        }
    }

    /** Delivers all changes and reads all events, then checks what each client received. */
    void settle() {
        for (int round = 0; round < 40; round++) {
            for (int controller = 0; controller < CONTROLLERS; controller++) {
                applyChanges(controller);
                applyTaskEvents(controller);
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
        clients.forEach(Client::assertSettled);
    }

    private boolean isFinal(String jobId) {
        return stored.containsKey(jobId) && stored.get(jobId).status().isFinal();
    }

    /** Number of events that clients received, so that a test can check that there were any. */
    int receivedEventCount() {
        return clients.stream().mapToInt(client -> client.received.size()).sum();
    }
}
