package io.kelphoist.controller;

import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.events.EventBroker;
import io.kelphoist.model.JobRecord;
import io.kelphoist.statestore.RecordWatcher;
import io.kelphoist.statestore.protocol.RecordChange;
import io.kelphoist.statestore.protocol.StateSnapshot;
import java.util.List;

/** Publishes the stored records of jobs to the event broker. Runs on the event loop. */
final class RecordEventPublisher implements RecordWatcher.Listener {
    private final JobRecordReader recordReader;
    private final BrokerUpdates brokerUpdates;
    private final EventLoop loop;

    RecordEventPublisher(
            JobRecordReader recordReader, BrokerUpdates brokerUpdates, EventLoop loop) {
        this.recordReader = recordReader;
        this.brokerUpdates = brokerUpdates;
        this.loop = loop;
    }

    @Override
    public void onSnapshot(StateSnapshot snapshot, double requestedAtSeconds) {
        EventBroker.Snapshot jobs = recordReader.decode(snapshot);
        brokerUpdates.submit(
                broker -> {
                    broker.onSnapshot(jobs, loop.nowSeconds());
                    broker.setStoreReachable(true, loop.nowSeconds());
                });
    }

    @Override
    public void onChanges(List<RecordChange> changes, long revision, double requestedAtSeconds) {
        List<JobRecord> jobs = recordReader.decode(changes);
        brokerUpdates.submit(
                broker -> {
                    broker.onRecordsChanged(revision, jobs, loop.nowSeconds());
                    broker.setStoreReachable(true, loop.nowSeconds());
                });
    }

    @Override
    public void onStale() {
        brokerUpdates.submit(broker -> broker.setStoreReachable(false, loop.nowSeconds()));
    }
}
