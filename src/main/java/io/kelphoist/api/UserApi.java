package io.kelphoist.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.core.JobKind;
import io.kelphoist.core.JobRecord;
import io.kelphoist.core.JobSpec;
import io.kelphoist.core.JobStatus;
import io.kelphoist.core.MachineType;
import io.kelphoist.core.Resources;
import io.kelphoist.core.Team;
import io.kelphoist.state.Committer;
import io.kelphoist.state.Keys;
import io.kelphoist.state.Records;
import io.kelphoist.state.StateClient;
import io.kelphoist.wire.BadMessage;
import io.kelphoist.wire.Cbor;
import io.kelphoist.wire.Codec;
import io.kelphoist.wire.HttpServing;
import io.undertow.server.HttpServerExchange;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The users' API. Any controller accepts and cancels, straight at the state service; what it is not sure of it does
 * not say.
 */
public final class UserApi {
    /** Counts of a job's tasks, for display. */
    public record Counts(int done, int running) {
        static final Counts NONE = new Counts(0, 0);
    }

    /** What this controller knows besides the state service. */
    public interface Knowledge {
        /** Empty while unknown. */
        Collection<MachineType> types();

        Counts counts(String job);
    }

    /** Why a request can't be taken now, for the log and the metrics. */
    public enum PutOff {
        /** The machine types were never read. */
        TYPES_UNKNOWN,
        /** The state service can't be asked, or its record means nothing to this version. */
        UNSURE,
        /** The state service did not take the write. */
        NOT_STORED
    }

    private static final Logger LOG = LoggerFactory.getLogger(UserApi.class);
    private static final double ACCEPT_S = 3.0;
    /** A look at what a job waits for may be so old, as a share of the time that a cancellation has. */
    private static final double RECENT = 0.25;
    /** Kept free in a value, for what a job's end adds to it. */
    private static final int SPARE_BYTES = 256;
    private final JobLookup lookup;
    private final Committer committer;
    private final StateClient.Loop loop;
    private final LongSupplier wallMs;
    private final Knowledge knowledge;
    private final Map<String, Team> teams = new HashMap<>();
    private final List<String> zones;
    private final int mostValueBytes;
    private final EnumMap<PutOff, Long> putOff = new EnumMap<>(PutOff.class);

    public UserApi(StateClient state, Committer committer, StateClient.Loop loop, LongSupplier wallMs, Knowledge knowledge,
                   List<Team> teams, List<String> zones, double valueKb, double cancelS) {
        this.lookup = new JobLookup(state, loop, RECENT * cancelS);
        this.committer = committer;
        this.loop = loop;
        this.wallMs = wallMs;
        this.knowledge = knowledge;
        teams.forEach(t -> this.teams.put(t.name(), t));
        this.zones = zones;
        this.mostValueBytes = (int) (valueKb * 1024) - SPARE_BYTES;
    }

    /** How often a request was put off for this cause. */
    public synchronized long putOff(PutOff why) {
        return putOff.getOrDefault(why, 0L);
    }

    private void later(HttpServerExchange exchange, String job, PutOff why) {
        synchronized (this) {
            putOff.merge(why, 1L, Long::sum);
        }
        LOG.debug("{} {} is put off: {}", exchange.getRequestMethod(), job, why);
        HttpServing.retryLater(exchange, 1);
    }

    // ---- submit ----

    public void submit(HttpServerExchange exchange, byte[] body) {
        JobSpec job;
        try {
            job = Codec.job(Cbor.decode(body));
        } catch (BadMessage e) {
            LOG.debug("submission refused: {}", e.getMessage());
            HttpServing.refuse(exchange, 400, e.getMessage());
            return;
        }
        if (knowledge.types().isEmpty()) {
            later(exchange, job.id(), PutOff.TYPES_UNKNOWN);
            return;
        }
        String never = whyNever(job);
        if (never != null) {
            refuseUnlessKnown(exchange, job, 422, never);
        } else if (job.needs().isEmpty()) {
            accept(exchange, job, false);
        } else {
            lookup.recent(job.needs(), found -> acceptAfter(exchange, job, found));
        }
    }

    /** Accepts a job that needs others. Whatever is wrong with these: a job that is known already keeps its answer. */
    private void acceptAfter(HttpServerExchange exchange, JobSpec job, List<JobLookup.Found> needs) {
        boolean cancelled = false;
        boolean unsure = false;
        for (int i = 0; i < needs.size(); i++) {
            String need = job.needs().get(i);
            if (needs.get(i) instanceof JobLookup.Absent) {
                refuseUnlessKnown(exchange, job, 422, "it needs " + need + ", which was never accepted");
                return;
            } else if (needs.get(i) instanceof JobLookup.Known k) {
                JobRecord record = k.record();
                if (record.spec() != null && record.spec().kind() == JobKind.SERVICE) {
                    refuseUnlessKnown(exchange, job, 422, "it needs " + need + ", a service");
                    return;
                }
                cancelled |= record.status() == JobStatus.CANCELLED;
            } else {
                unsure = true;
            }
        }
        if (unsure) {
            // Whether it is known already does not depend on what it needs.
            unlessKnown(exchange, job, () -> later(exchange, job.id(), PutOff.UNSURE));
        } else {
            accept(exchange, job, cancelled);
        }
    }

    /** @param cancelled a job that it needs was cancelled: it is accepted all the same, and never runs */
    private void accept(HttpServerExchange exchange, JobSpec job, boolean cancelled) {
        JobRecord accepted = new JobRecord(job.id(), job, cancelled ? JobStatus.CANCELLED : JobStatus.ACTIVE, wallMs.getAsLong(), 0);
        ObjectNode record = cancelled ? Records.cancelled(accepted, mostValueBytes) : Records.job(job, accepted.atMs());
        int bytes = Cbor.encodeJson(record).length;
        if (bytes > mostValueBytes) {
            refuseUnlessKnown(exchange, job, 400, "its description is too large to be stored");
            return;
        }
        committer.submit(new Committer.Write(List.of(new StateClient.Condition(Keys.job(job.id()), 0)),
                List.of(new StateClient.Change(Keys.job(job.id()), record, 0)), bytes + Committer.KEY_BYTES, loop.now() + ACCEPT_S, true, false,
                (outcome, revision) -> {
                    switch (outcome) {
                        case STORED -> {
                            lookup.stored(new JobRecord(job.id(), job, accepted.status(), accepted.atMs(), revision));
                            LOG.debug("job {} is accepted after {} ms here", job.id(), wallMs.getAsLong() - accepted.atMs());
                            HttpServing.cbor(exchange, 201, Codec.accepted(job.id(), cancelled ? "aborted" : "queued"));
                        }
                        // Known already, or unsure: what is stored decides.
                        case CONFLICT, UNSURE -> unlessKnown(exchange, job, () -> later(exchange, job.id(), PutOff.NOT_STORED));
                        case TOO_LARGE -> refuseUnlessKnown(exchange, job, 400, "its description is too large to be stored");
                        case REFUSED -> later(exchange, job.id(), PutOff.NOT_STORED);
                    }
                }));
    }

    /** An accepted job keeps its answer, even if it could not be accepted today. */
    private void refuseUnlessKnown(HttpServerExchange exchange, JobSpec job, int status, String why) {
        unlessKnown(exchange, job, () -> {
            LOG.info("job {} is refused: {}", job.id(), why);
            HttpServing.refuse(exchange, status, why);
        });
    }

    private void unlessKnown(HttpServerExchange exchange, JobSpec job, Runnable absent) {
        record(exchange, job.id(), known -> answer(exchange, known), absent);
    }

    /** What to do with a job's record, or where there surely is none; unsure, the user asks again. */
    private void record(HttpServerExchange exchange, String id, Consumer<JobRecord> known, Runnable absent) {
        lookup.read(id, found -> {
            if (found instanceof JobLookup.Known k) {
                known.accept(k.record());
            } else if (found instanceof JobLookup.Absent) {
                absent.run();
            } else {
                later(exchange, id, PutOff.UNSURE);
            }
        });
    }

    /** Why a job can never run; null: it can. */
    private String whyNever(JobSpec job) {
        Team team = teams.get(job.team());
        if (team == null) {
            return "unknown team";
        }
        Resources least = job.kind() == JobKind.ARRAY ? job.perTask() : job.perTask().times(job.tasks());
        if (!least.fitsIn(team.limit())) {
            return "past the team's limit";
        }
        if (job.zone() != null && !zones.contains(job.zone())) {
            return "unknown zone";
        }
        if (job.oneZone() && job.spread() && job.tasks() > 1 || job.zone() != null && job.spread() && job.tasks() > 1) {
            return "one zone and spread";
        }
        for (MachineType t : knowledge.types()) {
            if (job.allowsType(t.name()) && job.perTask().fitsIn(t.capacity()) && (job.zone() == null || t.zones().contains(job.zone()))) {
                return null;
            }
        }
        return "fits no allowed machine type";
    }

    // ---- query ----

    public void query(HttpServerExchange exchange, String id) {
        if (!Codec.isJobId(id)) {
            HttpServing.status(exchange, 404);
            return;
        }
        record(exchange, id, known -> answer(exchange, known), () -> HttpServing.status(exchange, 404));
    }

    /** The state of a job; of one that waits, only after a look at what it waits for. */
    private void answer(HttpServerExchange exchange, JobRecord record) {
        boolean waits = record.status() == JobStatus.ACTIVE && !record.spec().needs().isEmpty() && knowledge.counts(record.id()) == null;
        if (!waits) {
            say(exchange, record);
            return;
        }
        boolean[] atOnce = {true};
        lookup.ancestry(record.spec().needs(), ancestry -> {
            switch (ancestry) {
                case INTACT -> {
                    if (atOnce[0]) {
                        say(exchange, record);
                    } else {
                        // Looking round took a while, and what was read before may be old by now.
                        record(exchange, record.id(), known -> say(exchange, known), () -> later(exchange, record.id(), PutOff.UNSURE));
                    }
                }
                case CANCELLED -> cancel(exchange, record, 3);
                case UNAVAILABLE -> later(exchange, record.id(), PutOff.UNSURE);
            }
        });
        atOnce[0] = false;
    }

    private void say(HttpServerExchange exchange, JobRecord record) {
        Counts counts = record.status() == JobStatus.ACTIVE ? knowledge.counts(record.id()) : Counts.NONE;
        String word = switch (record.status()) {
            case DONE -> "done";
            case CANCELLED -> "aborted";
            case ACTIVE -> counts != null && counts.running() > 0 ? "running" : "queued";
        };
        Counts shown = counts == null ? Counts.NONE : counts;
        HttpServing.cbor(exchange, 200, Codec.accepted(record.id(), word).put("done", shown.done()).put("running", shown.running()));
    }

    // ---- cancel ----

    public void cancel(HttpServerExchange exchange, String id) {
        if (!Codec.isJobId(id)) {
            HttpServing.status(exchange, 404);
            return;
        }
        cancel(exchange, id, 3);
    }

    private void cancel(HttpServerExchange exchange, String id, int tries) {
        record(exchange, id, known -> cancel(exchange, known, tries), () -> HttpServing.status(exchange, 404));
    }

    /** Nothing is called cancelled before that is stored, so that no controller says anything older afterwards. */
    private void cancel(HttpServerExchange exchange, JobRecord job, int tries) {
        if (job.status().isFinal()) {
            say(exchange, job);
            return;
        }
        ObjectNode record = Records.cancelled(job, mostValueBytes);
        committer.submit(new Committer.Write(List.of(new StateClient.Condition(Keys.job(job.id()), job.version())),
                List.of(new StateClient.Change(Keys.job(job.id()), record, 0)), Cbor.encodeJson(record).length + Committer.KEY_BYTES,
                loop.now() + ACCEPT_S, true, false, (outcome, revision) -> {
                    switch (outcome) {
                        case STORED -> {
                            lookup.stored(new JobRecord(job.id(), job.spec(), JobStatus.CANCELLED, job.atMs(), revision));
                            HttpServing.cbor(exchange, 200, Codec.accepted(job.id(), "aborted"));
                        }
                        case CONFLICT, UNSURE -> {
                            if (tries > 1) {
                                cancel(exchange, job.id(), tries - 1);
                            } else {
                                later(exchange, job.id(), PutOff.NOT_STORED);
                            }
                        }
                        case REFUSED, TOO_LARGE -> later(exchange, job.id(), PutOff.NOT_STORED);
                    }
                }));
    }
}
