package io.kelphoist.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.core.Cluster;
import io.kelphoist.core.JobRecord;
import io.kelphoist.core.JobSpec;
import io.kelphoist.core.JobStatus;
import io.kelphoist.core.Machine;
import io.kelphoist.core.MachineType;
import io.kelphoist.core.PageOutcome;
import io.kelphoist.core.Placement;
import io.kelphoist.core.TaskProgress;
import io.kelphoist.state.Committer;
import io.kelphoist.state.Keys;
import io.kelphoist.state.Records;
import io.kelphoist.state.StateClient;
import io.kelphoist.wire.BadMessage;
import io.kelphoist.wire.Cbor;
import io.kelphoist.wire.Codec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.ObjDoubleConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What one term reads and writes at the state service. Every write is conditional on the term. */
final class Store {
    private static final Logger LOG = LoggerFactory.getLogger(Store.class);
    private static final double PATIENCE_S = 20;
    /** Each answered watch also tells up to when all changes of jobs are known here. */
    private static final int HOLD_MS = 1000;

    private final StateClient state;
    private final Committer committer;
    private final StateClient.Loop loop;
    private final LongSupplier wallMs;
    private final int valueBytes;
    private final StateClient.Condition term;
    private final Runnable deposed;
    private final Runnable changed;
    private Cluster cluster;
    private boolean closed;
    private double knownUntil = Double.NEGATIVE_INFINITY;
    /** Last known versions of the keys that only leaders write. */
    private final Map<String, Long> versions = new HashMap<>();

    Store(StateClient state, Committer committer, StateClient.Loop loop, LongSupplier wallMs, int valueBytes, long termVersion,
          Runnable deposed, Runnable changed) {
        this.state = state;
        this.committer = committer;
        this.loop = loop;
        this.wallMs = wallMs;
        this.valueBytes = valueBytes;
        this.term = new StateClient.Condition(Keys.TERM, termVersion);
        this.deposed = deposed;
        this.changed = changed;
    }

    void close() {
        closed = true;
    }

    /** All changes of jobs that were stored before this moment (the loop's clock) were taken in. */
    double knownUntil() {
        return knownUntil;
    }

    // ---- reading ----

    /** Reads jobs, progress, starts and mandates; a part that can't be read is read again. */
    void load(Cluster into, ObjDoubleConsumer<String> mandated, Runnable loaded) {
        cluster = into;
        double since = loop.now();
        range(Keys.JOBS, jobs -> {
            knownUntil = since;
            jobs.items().forEach(i -> job(i.path("key").asText(), i.path("value"), i.path("entry").asLong()));
            range(Keys.PROGRESS, progress -> {
                progress.items().forEach(i -> page(i, Keys.PROGRESS,
                        (page, value) -> Records.progress(value).forEach(p -> into.onProgressLoaded(page, p))));
                range(Keys.STARTS, starts -> {
                    starts.items().forEach(i -> page(i, Keys.STARTS,
                            (page, value) -> Records.starts(value).forEach(start -> into.onStartLoaded(page, start, loop.now()))));
                    range(Keys.MANDATES, mandates -> {
                        mandates.items().forEach(i -> {
                            String key = i.path("key").asText();
                            versions.put(key, i.path("entry").asLong());
                            mandated.accept(key.substring(Keys.MANDATES.length()), Records.mandate(i.path("value")));
                        });
                        hints(into);
                        into.onLoaded(loop.now());
                        loaded.run();
                        watchJobs(jobs.revision());
                    });
                });
            });
        });
    }

    /** Hints are not waited for: the first offers may go without. */
    private void hints(Cluster into) {
        range(Keys.IMAGES, images -> images.items().forEach(i -> page(i, Keys.IMAGES,
                (page, value) -> Records.images(value).forEach(m -> into.onImagesLoaded(page, m)))));
    }

    /** Reads a page; one that can't be understood is named and means nothing. */
    private interface Reader {
        void read(int page, JsonNode value) throws BadMessage;
    }

    private void page(JsonNode item, String prefix, Reader reader) {
        String key = item.path("key").asText();
        versions.put(key, item.path("entry").asLong());
        try {
            reader.read(Keys.page(prefix, key), item.path("value"));
        } catch (BadMessage e) {
            LOG.error("record {}: {}", key, e.getMessage());
        }
    }

    private void range(String prefix, Consumer<StateClient.Range> then) {
        if (closed) {
            return;
        }
        state.range(prefix, range -> {
            if (closed) {
                return;
            }
            if (range == null) {
                loop.after(0.2, () -> range(prefix, then));
            } else {
                then.accept(range);
            }
        });
    }

    private void job(String key, JsonNode value, long version) {
        try {
            JobRecord record = Records.job(key, value, version);
            cluster.onJob(record, Math.max(0, (wallMs.getAsLong() - record.atMs()) / 1000.0), loop.now());
        } catch (BadMessage e) {
            LOG.error("record {}: {}", key, e.getMessage());
        }
    }

    private void watchJobs(long after) {
        if (closed) {
            return;
        }
        double since = loop.now();
        state.watch(Keys.JOBS, after, HOLD_MS, result -> {
            if (closed) {
                return;
            }
            if (result instanceof StateClient.Done d && d.status() == 200) {
                knownUntil = since;
                for (JsonNode e : d.body().path("events")) {
                    if (e.has("put")) {
                        job(e.path("put").asText(), e.path("value"), e.path("entry").asLong());
                    }
                }
                if (d.body().path("events").size() > 0) {
                    changed.run();
                }
                watchJobs(Math.max(after, d.body().path("logbook").asLong(after)));
            } else if (result instanceof StateClient.Done d && d.status() == 410) {
                range(Keys.JOBS, jobs -> {
                    jobs.items().forEach(i -> job(i.path("key").asText(), i.path("value"), i.path("entry").asLong()));
                    changed.run();
                    watchJobs(jobs.revision());
                });
            } else {
                loop.after(0.25, () -> watchJobs(after));
            }
        });
    }

    // ---- writing ----

    private void write(boolean urgent, List<StateClient.Condition> also, List<StateClient.Change> changes, int bytes, Committer.Done done) {
        List<StateClient.Condition> conditions = new ArrayList<>(also);
        conditions.add(term);
        committer.submit(new Committer.Write(conditions, changes, bytes, loop.now() + PATIENCE_S, urgent, true, (outcome, revision) -> {
            if (!closed) {
                done.on(outcome, revision);
                changed.run();
            }
        }));
    }

    /** After a conflict: was it the term, or a record? */
    private void checkTerm() {
        state.get(Keys.TERM, result -> {
            if (!closed && result instanceof StateClient.Done d && d.status() == 200 && d.body().path("entry").asLong() != term.version()) {
                deposed.run();
            }
        });
    }

    /**
     * Puts a key that only leaders write. A transaction can be applied late, and must not bring an older value back:
     * each write is conditional on the version that was last known, which is read again when in doubt.
     */
    private void own(String key, ObjectNode value, boolean urgent, Consumer<PageOutcome> stored) {
        write(urgent, List.of(new StateClient.Condition(key, versions.getOrDefault(key, 0L))), List.of(new StateClient.Change(key, value, 0)),
                Cbor.encodeJson(value).length + Committer.KEY_BYTES, (outcome, revision) -> {
                    if (outcome == Committer.Outcome.STORED) {
                        versions.put(key, revision);
                        stored.accept(PageOutcome.STORED);
                    } else if (outcome == Committer.Outcome.REFUSED) {
                        stored.accept(PageOutcome.UNSURE);
                    } else if (outcome == Committer.Outcome.TOO_LARGE) {
                        stored.accept(PageOutcome.TOO_LARGE);
                    } else {
                        learn(key, () -> stored.accept(PageOutcome.UNSURE));
                    }
                });
    }

    private void learn(String key, Runnable then) {
        checkTerm();
        state.get(key, result -> {
            if (closed) {
                return;
            }
            if (result instanceof StateClient.Done d && (d.status() == 200 || d.status() == 404)) {
                versions.put(key, d.status() == 200 ? d.body().path("entry").asLong() : 0L);
                then.run();
                changed.run();
            } else {
                loop.after(0.2, () -> learn(key, then));
            }
        });
    }

    void progress(int page, List<TaskProgress> progress) {
        own(Keys.page(Keys.PROGRESS, page), Records.progress(progress), false, end -> cluster.onProgressStored(page, end));
    }

    /** With what users wait for: a page holds back dozens of tasks, and its share of the limit is bounded where it is made. */
    void starts(int page, List<Placement> starts) {
        own(Keys.page(Keys.STARTS, page), Records.starts(starts, cluster::zoneName), true, end -> cluster.onStartsStored(page, end));
    }

    void images(int page, List<Machine> machines) {
        own(Keys.page(Keys.IMAGES, page), Records.images(machines.stream().map(cluster::imagesOn).toList()), false,
                end -> cluster.onImagesStored(page, end));
    }

    void done(JobSpec job, long version) {
        long atMs = wallMs.getAsLong();
        end(false, new JobRecord(job.id(), null, JobStatus.DONE, atMs, version, job.owner()), Records.done(atMs, job.owner()));
    }

    /** Before bulk work: users wait for what they cancelled. */
    void cancelled(JobRecord job) {
        end(true, new JobRecord(job.id(), job.spec(), JobStatus.CANCELLED, job.atMs(), job.version()), Records.cancelled(job, valueBytes));
    }

    /** The end of a job, unless its record has changed since. */
    private void end(boolean urgent, JobRecord ended, ObjectNode value) {
        String job = ended.id();
        write(urgent, List.of(new StateClient.Condition(Keys.job(job), ended.version())), List.of(new StateClient.Change(Keys.job(job), value, 0)),
                Cbor.encodeJson(value).length + Committer.KEY_BYTES, (outcome, revision) -> {
                    if (outcome == Committer.Outcome.STORED) {
                        cluster.onJob(new JobRecord(job, ended.spec(), ended.status(), ended.atMs(), revision), 0, loop.now());
                        return;
                    }
                    // Perhaps it was cancelled, or written already: what is stored decides.
                    state.get(Keys.job(job), result -> {
                        if (closed) {
                            return;
                        }
                        read(job, result);
                        cluster.onEndNotStored(job);
                        checkTerm();
                    });
                });
    }

    /** Takes in what is stored of a job; false if nothing is. */
    private boolean read(String job, StateClient.Result result) {
        if (result instanceof StateClient.Done d && d.status() == 200) {
            job(Keys.job(job), d.body().path("value"), d.body().path("entry").asLong());
            return true;
        }
        return false;
    }

    void lookUp(String job) {
        state.get(Keys.job(job), result -> {
            if (!closed && !read(job, result) && result instanceof StateClient.Done) {
                cluster.onJobAbsent(job, loop.now());
            }
            changed.run();
        });
    }

    /** Never deleted but written over: a write that comes late then finds another version. */
    void mandate(String peer, double baseMs, Consumer<Boolean> stored) {
        own(Keys.MANDATES + peer, Records.mandate(baseMs), true, end -> stored.accept(end == PageOutcome.STORED));
    }

    void types(List<MachineType> types) {
        write(false, List.of(), List.of(new StateClient.Change(Keys.TYPES, Codec.types(types), 0)), 1000, (outcome, revision) -> { });
    }
}
