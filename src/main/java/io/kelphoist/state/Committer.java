package io.kelphoist.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Group commit: writes that wait at the same time share transactions, within the limits of the state service.
 * One transaction is under way at a time.
 */
public final class Committer {
    /** How a write ended. */
    public enum Outcome {
        STORED,
        /** One of its own conditions failed. */
        CONFLICT,
        /** Surely not executed. */
        REFUSED,
        /** Nobody knows, now or later: read back. */
        UNSURE
    }

    /**
     * @param patient tried again until {@code until} if the service is down; otherwise refused at once
     * @param done also gets the revision of a stored write
     */
    public record Write(List<StateClient.Condition> conditions, List<StateClient.Change> changes, int bytes, double until,
                        boolean patient, Done done) { }

    /** Takes the outcome. */
    public interface Done {
        void on(Outcome outcome, long revision);
    }

    private static final int MOST_BYTES = 48 * 1024;
    private static final int MOST_WAITING = 2000;
    private final StateClient state;
    private final StateClient.Loop loop;
    private final RateGate writes;
    private final int mostOps;
    private final Deque<Write> queue = new ArrayDeque<>();
    private boolean busy;

    public Committer(StateClient state, StateClient.Loop loop, double writeRps, int txnOps) {
        this.state = state;
        this.loop = loop;
        this.writes = new RateGate(writeRps, 0.9);
        this.mostOps = txnOps;
    }

    public int waiting() {
        return queue.size();
    }

    public void submit(Write write) {
        if (queue.size() >= MOST_WAITING) {
            write.done().on(Outcome.REFUSED, 0);
            return;
        }
        queue.add(write);
        pump();
    }

    private void pump() {
        if (busy || queue.isEmpty()) {
            return;
        }
        double now = loop.now();
        while (!queue.isEmpty() && queue.peek().until() < now) {
            queue.poll().done().on(Outcome.REFUSED, 0);
        }
        if (queue.isEmpty()) {
            return;
        }
        List<Write> batch = batch();
        int ops = batch.stream().mapToInt(w -> w.changes().size()).sum();
        if (!writes.take(ops, now)) {
            // Rather fewer now than all of them later.
            int first = batch.get(0).changes().size();
            if (batch.size() > 1 && writes.take(first, now)) {
                batch = List.of(batch.get(0));
            } else {
                pause(writes.waitFor(first, now));
                return;
            }
        }
        for (int i = 0; i < batch.size(); i++) {
            queue.poll();
        }
        send(batch);
    }

    private List<Write> batch() {
        List<Write> batch = new ArrayList<>();
        Set<String> keys = new HashSet<>();
        Map<String, Long> versions = new HashMap<>();
        int ops = 0;
        int bytes = 0;
        for (Write w : queue) {
            ops += w.changes().size();
            bytes += w.bytes();
            boolean clash = w.changes().stream().anyMatch(c -> keys.contains(c.key()))
                    || w.conditions().stream().anyMatch(c -> versions.getOrDefault(c.key(), c.version()) != c.version());
            if (!batch.isEmpty() && (ops > mostOps || bytes > MOST_BYTES || clash)) {
                break;
            }
            w.changes().forEach(c -> keys.add(c.key()));
            w.conditions().forEach(c -> versions.put(c.key(), c.version()));
            batch.add(w);
        }
        return batch;
    }

    private void pause(double seconds) {
        busy = true;
        loop.after(Math.max(0.01, seconds), () -> {
            busy = false;
            pump();
        });
    }

    private void send(List<Write> batch) {
        busy = true;
        Map<String, StateClient.Condition> conditions = new LinkedHashMap<>();
        List<StateClient.Change> changes = new ArrayList<>();
        for (Write w : batch) {
            w.conditions().forEach(c -> conditions.put(c.key(), c));
            changes.addAll(w.changes());
        }
        state.txn(List.copyOf(conditions.values()), changes, false, result -> {
            busy = false;
            if (result instanceof StateClient.Done d && d.status() == 200) {
                long revision = d.body().path("logbook").asLong();
                finish(batch, w -> w.done().on(Outcome.STORED, revision));
            } else if (result instanceof StateClient.Done d && d.status() == 409) {
                conflict(batch, d.body().path("failed"));
            } else if (result instanceof StateClient.Done) {
                finish(batch, w -> w.done().on(Outcome.CONFLICT, 0));
            } else if (result instanceof StateClient.Unsure) {
                finish(batch, w -> w.done().on(Outcome.UNSURE, 0));
            } else {
                boolean busyOnly = ((StateClient.Refused) result).busy();
                requeue(batch.stream().filter(w -> w.patient() || busyOnly).toList());
                finish(batch.stream().filter(w -> !w.patient() && !busyOnly).toList(), w -> w.done().on(Outcome.REFUSED, 0));
                pause(0.15);
                return;
            }
            pump();
        });
    }

    private void conflict(List<Write> batch, JsonNode failed) {
        Set<String> keys = new HashSet<>();
        failed.forEach(k -> keys.add(k.asText()));
        List<Write> again = new ArrayList<>();
        List<Write> lost = new ArrayList<>();
        for (Write w : batch) {
            boolean own = keys.isEmpty() || w.conditions().stream().anyMatch(c -> keys.contains(c.key()));
            (own ? lost : again).add(w);
        }
        requeue(again);
        finish(lost, w -> w.done().on(Outcome.CONFLICT, 0));
    }

    private void requeue(List<Write> batch) {
        for (int i = batch.size() - 1; i >= 0; i--) {
            queue.addFirst(batch.get(i));
        }
    }

    private static void finish(List<Write> batch, Consumer<Write> how) {
        batch.forEach(how);
    }
}
