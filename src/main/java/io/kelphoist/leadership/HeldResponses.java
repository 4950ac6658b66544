package io.kelphoist.leadership;

import io.kelphoist.eventloop.Callbacks;
import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.metrics.ControllerCounters;
import io.kelphoist.model.HeartbeatResponse;
import io.kelphoist.model.WorkerCommand;
import io.kelphoist.scheduler.spi.PendingResponse;
import io.kelphoist.scheduler.spi.SentStarts;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * The responses to heartbeats of one term, which may be held until a start is decided for their
 * machine. Whether a response may be sent is checked when it is sent. Runs on the event loop.
 */
final class HeldResponses {
    private static final int MAX_HELD = 1000;

    /** Ticks are more frequent, and each check looks at every held response. */
    private static final double CHECK_INTERVAL_SECONDS = 0.05;

    private record Held(
            PendingResponse response,
            PendingResponse.Hold hold,
            Consumer<Optional<HeartbeatResponse>> onResponse) {}

    private final long term;
    private final EventLoop loop;
    private final BooleanSupplier mayRespond;
    private final ControllerCounters counters;
    private List<Held> held = new ArrayList<>();
    private boolean checkScheduled;

    HeldResponses(
            long term, EventLoop loop, BooleanSupplier mayRespond, ControllerCounters counters) {
        this.term = term;
        this.loop = loop;
        this.mayRespond = mayRespond;
        this.counters = counters;
    }

    /** Responds to a heartbeat, now or later. */
    void respond(
            PendingResponse response,
            PendingResponse.Hold hold,
            Consumer<Optional<HeartbeatResponse>> onResponse) {
        Held pending = new Held(response, hold, onResponse);
        if (held.size() >= MAX_HELD || response.isDue(hold, loop.nowSeconds())) {
            send(pending);
            return;
        }
        held.add(pending);
        scheduleCheck();
    }

    private void scheduleCheck() {
        if (!checkScheduled && !held.isEmpty()) {
            checkScheduled = true;
            loop.schedule(CHECK_INTERVAL_SECONDS, this::check);
        }
    }

    private void check() {
        checkScheduled = false;
        try {
            sendDue();
        } finally {
            scheduleCheck();
        }
    }

    private void sendDue() {
        double nowSeconds = loop.nowSeconds();
        List<Held> due = new ArrayList<>();
        List<Held> rest = new ArrayList<>();
        for (Held pending : held) {
            (pending.response.isDue(pending.hold, nowSeconds) ? due : rest).add(pending);
        }
        held = rest;
        Callbacks.forEach(due, this::send);
    }

    private void send(Held pending) {
        pending.onResponse.accept(
                mayRespond.getAsBoolean()
                        ? Optional.of(createResponse(pending.response))
                        : Optional.empty());
    }

    private HeartbeatResponse createResponse(PendingResponse response) {
        SentStarts sentStarts = new SentStarts();
        List<WorkerCommand> commands = response.takeCommands(sentStarts, loop.nowSeconds());
        counters.onStartsSent(
                sentStarts.count(), sentStarts.repeatedCount(), sentStarts.waitSeconds());
        return new HeartbeatResponse(term, commands);
    }

    /** How many responses are held. */
    int size() {
        return held.size();
    }

    /** The term has ended: the workers of the held responses turn to another controller. */
    void close() {
        List<Held> rest = held;
        held = new ArrayList<>();
        Callbacks.forEach(rest, pending -> pending.onResponse.accept(Optional.empty()));
    }
}
