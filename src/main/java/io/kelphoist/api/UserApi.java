package io.kelphoist.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
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

    private static final Logger LOG = LoggerFactory.getLogger(UserApi.class);
    private static final double ACCEPT_S = 3.0;
    private static final int MOST_FINALS = 4000;
    private final StateClient state;
    private final Committer committer;
    private final StateClient.Loop loop;
    private final LongSupplier wallMs;
    private final Knowledge knowledge;
    private final Map<String, Team> teams = new HashMap<>();
    private final List<String> zones;
    private final int mostValueBytes;
    /** Final states that were read: they never change, so they can be said even without the state service. */
    private final Cache<String, JobStatus> finals = CacheBuilder.newBuilder().maximumSize(MOST_FINALS).concurrencyLevel(1).build();

    public UserApi(StateClient state, Committer committer, StateClient.Loop loop, LongSupplier wallMs, Knowledge knowledge,
                   List<Team> teams, List<String> zones, double valueKb) {
        this.state = state;
        this.committer = committer;
        this.loop = loop;
        this.wallMs = wallMs;
        this.knowledge = knowledge;
        teams.forEach(t -> this.teams.put(t.name(), t));
        this.zones = zones;
        this.mostValueBytes = (int) (valueKb * 1024) - 256;
    }

    // ---- submit ----

    public void submit(HttpServerExchange exchange, byte[] body) {
        JobSpec job;
        ObjectNode record;
        try {
            job = Codec.job(Cbor.decode(body));
            record = Records.job(job, wallMs.getAsLong());
            if (Cbor.encodeJson(record).length > mostValueBytes) {
                throw new BadMessage("description is too large to be stored");
            }
        } catch (BadMessage e) {
            LOG.debug("submission refused: {}", e.getMessage());
            HttpServing.status(exchange, 400);
            return;
        }
        if (knowledge.types().isEmpty()) {
            HttpServing.retryLater(exchange, 1);
            return;
        }
        String never = whyNever(job);
        if (never != null) {
            refuseUnlessKnown(exchange, job, never);
            return;
        }
        committer.submit(new Committer.Write(List.of(new StateClient.Condition(Keys.job(job.id()), 0)),
                List.of(new StateClient.Change(Keys.job(job.id()), record, 0)), body.length + 400, loop.now() + ACCEPT_S, false,
                (outcome, revision) -> {
                    switch (outcome) {
                        case STORED -> HttpServing.cbor(exchange, 201, Codec.accepted(job.id(), "queued"));
                        // Known already, or unsure: what is stored decides.
                        case CONFLICT, UNSURE -> read(job.id(), found -> {
                            if (found instanceof Known k) {
                                answer(exchange, k.record());
                            } else {
                                HttpServing.retryLater(exchange, 1);
                            }
                        });
                        case REFUSED -> HttpServing.retryLater(exchange, 1);
                    }
                }));
    }

    /** An accepted job keeps its answer, even if it could not be accepted today. */
    private void refuseUnlessKnown(HttpServerExchange exchange, JobSpec job, String why) {
        read(job.id(), found -> {
            if (found instanceof Known k) {
                answer(exchange, k.record());
            } else if (found instanceof Absent) {
                LOG.info("job {} can never run: {}", job.id(), why);
                HttpServing.status(exchange, 422);
            } else {
                HttpServing.retryLater(exchange, 1);
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
        read(id, found -> {
            if (found instanceof Known k) {
                answer(exchange, k.record());
            } else if (found instanceof Absent) {
                HttpServing.status(exchange, 404);
            } else {
                HttpServing.retryLater(exchange, 1);
            }
        });
    }

    private void answer(HttpServerExchange exchange, JobRecord record) {
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
        read(id, found -> {
            if (found instanceof Absent) {
                HttpServing.status(exchange, 404);
            } else if (!(found instanceof Known k)) {
                HttpServing.retryLater(exchange, 1);
            } else if (k.record().status().isFinal()) {
                answer(exchange, k.record());
            } else {
                committer.submit(new Committer.Write(List.of(new StateClient.Condition(Keys.job(id), k.record().version())),
                        List.of(new StateClient.Change(Keys.job(id), Records.cancelled(k.record()), 0)), 1000,
                        loop.now() + ACCEPT_S, false, (outcome, revision) -> {
                            switch (outcome) {
                                case STORED -> HttpServing.cbor(exchange, 200, Codec.accepted(id, "aborted"));
                                case CONFLICT, UNSURE -> {
                                    if (tries > 1) {
                                        cancel(exchange, id, tries - 1);
                                    } else {
                                        HttpServing.retryLater(exchange, 1);
                                    }
                                }
                                case REFUSED -> HttpServing.retryLater(exchange, 1);
                            }
                        }));
            }
        });
    }

    // ---- what is stored ----

    private sealed interface Found { }

    private record Known(JobRecord record) implements Found { }

    private record Absent() implements Found { }

    private record Unavailable() implements Found { }

    private void read(String id, Consumer<Found> handler) {
        JobStatus known = finals.getIfPresent(id);
        if (known != null) {
            handler.accept(new Known(new JobRecord(id, null, known, 0, 0)));
            return;
        }
        state.get(Keys.job(id), result -> {
            Found found = new Unavailable();
            if (result instanceof StateClient.Done d && d.status() == 404) {
                found = new Absent();
            } else if (result instanceof StateClient.Done d && d.status() == 200) {
                try {
                    JobRecord record = Records.job(Keys.job(id), d.body().path("value"), d.body().path("entry").asLong());
                    if (record.status().isFinal()) {
                        finals.put(id, record.status());
                    }
                    found = new Known(record);
                } catch (BadMessage e) {
                    LOG.error("record of {}: {}", id, e.getMessage());
                }
            }
            handler.accept(found);
        });
    }
}
