package io.kelphoist.controller;

import io.kelphoist.admission.Admission;
import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.events.EventBroker;
import io.kelphoist.model.JobRecord;
import io.kelphoist.statestore.StateStoreClient;
import io.kelphoist.statestore.protocol.RecordChange;
import io.kelphoist.statestore.protocol.RecordCodec;
import io.kelphoist.statestore.protocol.StateSnapshot;
import io.kelphoist.statestore.protocol.StateStoreKeys;
import io.kelphoist.statestore.protocol.StoredRecord;
import io.kelphoist.wire.MalformedMessageException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads and decodes the stored records of jobs for event streams. Each record is passed to
 * admission before it is sent to a user, so that no later response contradicts it. Confined to the
 * event loop, except {@link #stop}, which may be called on any thread.
 */
final class JobRecordReader {
    private static final Logger LOG = LoggerFactory.getLogger(JobRecordReader.class);
    private static final double RETRY_DELAY_SECONDS = 0.25;

    private final StateStoreClient stateClient;
    private final Admission admission;
    private final EventLoop loop;
    private volatile boolean stopped;

    JobRecordReader(StateStoreClient stateClient, Admission admission, EventLoop loop) {
        this.stateClient = stateClient;
        this.admission = admission;
        this.loop = loop;
    }

    /** Stops new reads and retries; callbacks of pending reads may never run. */
    void stop() {
        stopped = true;
    }

    /** Reads all jobs, and retries until the read succeeds. */
    void readAll(Consumer<EventBroker.Snapshot> callback) {
        if (stopped) {
            return;
        }
        stateClient.readAll(StateStoreKeys.JOBS_PREFIX, snapshot -> onRead(snapshot, callback));
    }

    private void onRead(Optional<StateSnapshot> snapshot, Consumer<EventBroker.Snapshot> callback) {
        if (snapshot.isEmpty()) {
            loop.schedule(RETRY_DELAY_SECONDS, () -> readAll(callback));
        } else {
            callback.accept(decode(snapshot.get()));
        }
    }

    /** Decodes a snapshot; records that can't be decoded are left out. */
    EventBroker.Snapshot decode(StateSnapshot snapshot) {
        List<JobRecord> jobs = new ArrayList<>(snapshot.records().size());
        for (StoredRecord record : snapshot.records()) {
            decode(record).ifPresent(jobs::add);
        }
        return new EventBroker.Snapshot(snapshot.revision(), List.copyOf(jobs));
    }

    /** Decodes the records in changes; deletions and records that can't be decoded are left out. */
    List<JobRecord> decode(List<RecordChange> changes) {
        List<JobRecord> jobs = new ArrayList<>();
        for (RecordChange change : changes) {
            if (!change.deleted()) {
                decode(change.record()).ifPresent(jobs::add);
            }
        }
        return jobs;
    }

    private Optional<JobRecord> decode(StoredRecord stored) {
        try {
            JobRecord record = RecordCodec.decodeJob(stored).withoutSpec();
            admission.beforeResponse(record);
            return Optional.of(record);
        } catch (MalformedMessageException e) {
            LOG.error(
                    "malformed job record left out of event streams: key={} error={}",
                    stored.key(),
                    e.getMessage());
            return Optional.empty();
        }
    }
}
