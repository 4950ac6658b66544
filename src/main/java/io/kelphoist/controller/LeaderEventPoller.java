package io.kelphoist.controller;

import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.events.TaskEventLog;
import io.kelphoist.peer.TaskEventClient;
import io.kelphoist.peer.TaskEventCodec.EventsRequest;
import io.kelphoist.peer.TaskEventCodec.TermUpdate;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Polls the leader for its transient events while another controller leads, and submits them to
 * this controller's event broker. Owns the sequence number from which the leader's event log is
 * read next. Confined to the event loop, except {@link #stop}, which may be called on any thread.
 */
final class LeaderEventPoller {
    private static final double POLL_INTERVAL_SECONDS = 0.3;

    /** A sequence number for which the leader returns a snapshot. */
    private static final long SNAPSHOT_SEQUENCE = -1;

    private final TaskEventClient client;
    private final Supplier<Optional<String>> leaderSupplier;
    private final BrokerUpdates brokerUpdates;
    private final EventLoop loop;
    private volatile boolean stopped;
    private boolean isPaused;

    /**
     * The leader that was polled last; empty before the first poll, and from this controller's
     * election until the first poll after its term.
     */
    private Optional<String> polledLeader = Optional.empty();

    private long polledTerm;
    private long nextSequence = SNAPSHOT_SEQUENCE;

    /**
     * Creates a poller; {@link #poll} starts it.
     *
     * @param leaderSupplier returns the name of the current leader; empty if it is unknown
     */
    LeaderEventPoller(
            TaskEventClient client,
            Supplier<Optional<String>> leaderSupplier,
            BrokerUpdates brokerUpdates,
            EventLoop loop) {
        this.client = client;
        this.leaderSupplier = leaderSupplier;
        this.brokerUpdates = brokerUpdates;
        this.loop = loop;
    }

    /** Pauses polling, as this controller leads. */
    void onElected() {
        isPaused = true;
        polledLeader = Optional.empty();
    }

    /** Resumes polling, with a snapshot first, as the term led here ended. */
    void onTermEnded() {
        isPaused = false;
        nextSequence = SNAPSHOT_SEQUENCE;
    }

    /** Stops polling for good. */
    void stop() {
        stopped = true;
    }

    /**
     * Polls now, and then again an interval after each response or failed request, or after an
     * interval if this controller leads or knows no leader. Called once from outside.
     */
    void poll() {
        if (stopped) {
            return;
        }
        Optional<String> leader = leaderSupplier.get().filter(client::hasPeer);
        if (isPaused || leader.isEmpty()) {
            loop.schedule(POLL_INTERVAL_SECONDS, this::poll);
            return;
        }
        if (!leader.equals(polledLeader)) {
            polledLeader = leader;
            nextSequence = SNAPSHOT_SEQUENCE;
        }
        client.requestEvents(
                leader.get(),
                new EventsRequest(polledTerm, nextSequence),
                update -> onResponse(leader, update));
    }

    private void onResponse(Optional<String> leader, Optional<TermUpdate> update) {
        if (update.isPresent() && leader.equals(polledLeader) && !isPaused) {
            apply(update.get());
        }
        loop.schedule(POLL_INTERVAL_SECONDS, this::poll);
    }

    private void apply(TermUpdate termUpdate) {
        TaskEventLog.Update update = termUpdate.update();
        polledTerm = termUpdate.term();
        nextSequence = update.nextSequence();
        if (brokerUpdates.isFull()) {
            // The update is dropped; the next response is a snapshot.
            nextSequence = SNAPSHOT_SEQUENCE;
        } else if (update.isSnapshot()) {
            brokerUpdates.submitEventReset(update.events());
        } else if (!update.events().isEmpty()) {
            brokerUpdates.submitEvents(update.events());
        }
    }
}
