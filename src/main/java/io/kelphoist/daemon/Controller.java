package io.kelphoist.daemon;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.admission.Admission;
import io.kelphoist.api.UserApi;
import io.kelphoist.cloud.CloudClient;
import io.kelphoist.config.GrpcSettings;
import io.kelphoist.config.OperatorSettings;
import io.kelphoist.config.Settings;
import io.kelphoist.core.Cluster;
import io.kelphoist.core.Command;
import io.kelphoist.core.Effects;
import io.kelphoist.core.Election;
import io.kelphoist.core.Happening;
import io.kelphoist.core.Job;
import io.kelphoist.core.JobRecord;
import io.kelphoist.core.JobSpec;
import io.kelphoist.core.Machine;
import io.kelphoist.core.MachineReport;
import io.kelphoist.core.MachineType;
import io.kelphoist.core.Placement;
import io.kelphoist.core.Rental;
import io.kelphoist.core.TaskProgress;
import io.kelphoist.peer.PeerCalls;
import io.kelphoist.sockets.SocketBudget;
import io.kelphoist.standby.TakeOver;
import io.kelphoist.state.Committer;
import io.kelphoist.state.Keys;
import io.kelphoist.state.StateClient;
import io.kelphoist.wire.BadMessage;
import io.kelphoist.wire.Cbor;
import io.kelphoist.wire.Codec;
import io.kelphoist.wire.HttpCaller;
import io.kelphoist.wire.HttpServing;
import io.kelphoist.worker.WorkerCalls;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.MDC;
import org.xnio.XnioIoThread;

/** One controller: the event loop's side of everything. All of it runs on one I/O thread. */
public final class Controller implements Effects, Leadership.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);
    private static final double TICK_S = 0.2;
    private static final double SOON_S = 0.015;
    /** After a decision the loop is left to others for so many times as long. */
    private static final double DECISION_SHARE = 4;
    private static final double LOAD_EVERY_S = 5;
    private static final double NEWS_EVERY_S = 1.0;
    private static final int STATE_CONNECTIONS = 6;
    /** Of the leader's key, four kinds of record, and the jobs for gRPC. */
    private static final int WATCH_CONNECTIONS = 6;
    /** Questions to machines at a time in a take-over: a part of the connections for orders, and no more than are soon answered. */
    private static final int QUESTION_PART = 2;
    private static final int MOST_QUESTIONS = 128;
    /** What was sent may take so long to be answered when this controller stops; and so long its last word. */
    private static final double SETTLE_S = 1.0;
    private static final double FAREWELL_S = 0.3;
    /** Reports come every so often, give or take a quarter. */
    private static final double REPORT_ROUND = 1.25;

    /** Counts for the metrics, by what happened. */
    final Counters counters = new Counters();

    private final Settings settings;
    private final OperatorSettings operator;
    private final XnioIoThread thread;
    private final ByteBufferPool buffers;
    private final StateClient.Loop loop;
    private final StateClient state;
    private final Committer committer;
    private final CloudSide cloud;
    private final WorkerCalls workers;
    private final PeerCalls peers;
    private final Leadership leadership;
    private final Admission admission;
    private final UserApi api;
    /** Null: nothing is served over gRPC. */
    private Following following;
    /** Null: jobs are not traced. */
    private Tracing tracing;

    private Cluster cluster;
    private Store store;
    private final Followed followed;
    private final Standby standby;
    private final int mostQuestions;
    private boolean loaded;
    /** It decides nothing more. */
    private boolean leaving;
    private boolean tickSoon;
    private double nextDecision;
    private double newsAt;
    private double ledSince;
    private double loadAt;
    private final JobCounts counts = new JobCounts();
    private final Caretaking caretaking;
    private final WorkerConnections connections;
    private final Reports reports;

    public Controller(Settings settings, OperatorSettings operator, XnioIoThread thread, ByteBufferPool buffers, double startedAt) {
        this.settings = settings;
        this.operator = operator;
        this.thread = thread;
        this.buffers = buffers;
        this.loop = new StateClient.Loop() {
            @Override
            public double now() {
                return System.nanoTime() * 1e-9;
            }

            @Override
            public void after(double seconds, Runnable task) {
                try {
                    thread.executeAfter(() -> guarded(task), Math.max(1, Math.round(seconds * 1000)), TimeUnit.MILLISECONDS);
                } catch (RejectedExecutionException e) {
                    LOG.debug("stopping, nothing comes later");
                }
            }
        };
        state = new StateClient(caller(settings.state(), HttpServing.CBOR, STATE_CONNECTIONS), caller(settings.state(), HttpServing.CBOR, WATCH_CONNECTIONS), loop,
                settings.stateLimits().rps() * 0.45, this::garbage);
        followed = new Followed(state, loop);
        standby = new Standby(operator.standby(), loop);
        committer = new Committer(state, loop, settings.stateLimits().writeRps() * 0.55, settings.stateLimits().txnOps());
        cloud = new CloudSide(new CloudClient(caller(settings.cloud(), HttpServing.CBOR, 2), loop, settings.cloudLimits().rps(), this::garbage),
                state, loop, settings.cloudLimits().rps(), () -> cluster, types -> ifStored(s -> s.types(types)), this::soon);
        SocketBudget sockets = new SocketBudget(settings.sockets());
        mostQuestions = Math.max(1, Math.min(MOST_QUESTIONS, sockets.orderLines() / QUESTION_PART));
        workers = new WorkerCalls(address -> caller(address, HttpServing.CBOR, 1), sockets.orderLines());
        connections = new WorkerConnections(sockets, settings.workers().leaseS());
        Map<String, HttpCaller> callers = new HashMap<>();
        settings.peers().forEach(p -> callers.put(p.node(), caller(p.address(), HttpServing.JSON, 4)));
        peers = new PeerCalls(callers, this::garbage);
        leadership = new Leadership(settings.node(), settings.peers().stream().map(Settings.Peer::node).toList(), state, peers, loop,
                operator.leaderLeaseMs(), operator.grantMs(), startedAt, this);
        caretaking = new Caretaking(settings, operator.caretaking(), startedAt);
        reports = new Reports(leadership, peers, loop, counters,
                new Routes(settings.peerZones(), settings.workers().leaseS()), caretaking, connections, this::lead);
        admission = new Admission(state, committer::submit, loop, System::currentTimeMillis, new Admission.Knowledge() {
            @Override
            public Collection<MachineType> types() {
                return cloud.types();
            }

            @Override
            public Admission.Counts counts(String job) {
                return counts.of(job);
            }
        }, settings.teams(), settings.zones(), settings.stateLimits().valueKb(), settings.workers().cancelS());
        api = new UserApi(admission);
        beat();
        cloud.readTypes();
    }

    private HttpCaller caller(String address, String type, int most) {
        return new HttpCaller(thread, buffers, address, type, most);
    }

    /** An answer of an outside system or another controller that could not be understood. */
    private void garbage(String what) {
        counters.badMessages++;
        LOG.warn("{}", what);
    }

    private void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            counters.bugs++;
            LOG.error("unexpected", e);
        }
    }

    private void beat() {
        loop.after(TICK_S, this::beat);
        tick();
    }

    /** What the leader's time went into, for whoever looks for a slow one. */
    private void tellLoad(double now) {
        if (now >= loadAt) {
            loadAt = now + LOAD_EVERY_S;
            LOG.debug("load so far: {} reports in {} s, {} decisions in {} s, {} connections of workers, {} to workers, "
                    + "{} writes waiting", counters.reports, counters.reportS, counters.decisions, counters.decisionS, connections.size(),
                    workers.open(), committer.waiting());
        }
    }

    private void tick() {
        double now = loop.now();
        leadership.tick();
        Election election = leadership.election();
        if (election.state() == Election.State.LEADER && cluster != null && loaded && election.mayAct(now)) {
            if (leaving) {
                return;
            }
            standby.takeOver().run(cluster.machines(), now);
            cluster.tick(now);
            counters.decisions++;
            counters.decisionS += loop.now() - now;
            // A decision over a large fleet takes a while, above all in a process that just began: reports go first.
            nextDecision = now + DECISION_SHARE * (loop.now() - now);
            if (cluster.deposed()) {
                election.resign("a worker has seen a higher term", now);
                return;
            }
            cloud.ask(now);
            handOverIfCutOff(now);
            caretaking.provide(cluster, followed.knownUntil(), now);
            caretaking.note(store, System.currentTimeMillis(), now);
            tellLoad(now);
        }
        workers.sweep(now);
        connections.sweep(now);
    }

    /** Input often comes in bursts; one tick serves them all. */
    private void soon() {
        if (!tickSoon) {
            tickSoon = true;
            loop.after(Math.max(SOON_S, nextDecision - loop.now()), () -> {
                tickSoon = false;
                tick();
            });
        }
    }

    // ---- leadership ----

    @Override
    public void began(long term, long termVersion) {
        MDC.put("term", Long.toString(term));
        LOG.info("term {} begins here", term);
        ledSince = loop.now();
        loaded = false;
        if (following != null) {
            following.began(term);
        }
        if (tracing != null) {
            tracing.began(term);
        }
        begin(term, termVersion);
    }

    /** Without machine types nothing can be understood; the first leader ever has to ask for them. */
    private void begin(long term, long termVersion) {
        Election election = leadership.election();
        if (election.state() != Election.State.LEADER || election.term() != term) {
            return;
        }
        if (cloud.types().isEmpty()) {
            state.get(Keys.TYPES, result -> {
                boolean absent = result instanceof StateClient.Done d && d.status() == 404;
                if (absent) {
                    cloud.fetchTypes();
                }
                loop.after(0.2, () -> begin(term, termVersion));
            });
            return;
        }
        store = new Store(state, committer, loop, System::currentTimeMillis, (int) (settings.stateLimits().valueKb() * 1024), termVersion,
                () -> election.resign("the term has moved on", loop.now()), this::soon);
        TakeOver takeOver = new TakeOver(term, REPORT_ROUND * settings.workers().reportS(), settings.cloudLimits().listLagS(), mostQuestions, this::ask,
                loop.now());
        cluster = new Cluster(operator.policy(settings), this, caretaking.begin(term, loop.now()), takeOver, term, cloud.types(), loop.now());
        standby.began(takeOver);
        prove(cluster, termVersion);
    }

    /** What was followed is proved to be current, or read, and taken in. */
    private void prove(Cluster loading, long termVersion) {
        followed.prove(records -> {
            if (cluster != loading) {
                return;
            }
            if (!standby.takeOver().read(records.oldest(), termVersion, loop.now())) {
                followed.follow();
                prove(loading, termVersion);
                return;
            }
            store.load(loading, records, (peer, baseMs) -> caretaking.recorded(peer, baseMs, System.currentTimeMillis(), loop.now()));
            standby.hint(loading);
            followed.lead(store);
            loaded = true;
            store.types(cloud.types());
            LOG.info("term {}: {} machines and {} jobs known after {} ms", loading.term(), loading.machines().size(), loading.jobs().size(),
                    Math.round((loop.now() - ledSince) * 1000));
            tick();
        });
    }

    /** Asks a machine for a report, under the token of this term: from then on it refuses whatever an earlier leader sent. */
    private void ask(Machine machine, long session) {
        Cluster asking = cluster;
        TakeOver by = standby.takeOver();
        counters.questions++;
        workers.orders(machine.address(), leadership.election().term(), Math.max(1, session), List.of(), loop.now(), (outcome, report) -> {
            if (cluster == asking) {
                asking.onAsked(machine.name, outcome, report, loop.now());
                by.answered(machine.name, outcome, report);
                soon();
            }
        });
    }

    @Override
    public void ended() {
        LOG.info("the term ends here");
        MDC.remove("term");
        if (store != null) {
            store.close();
        }
        standby.ended(cluster);
        store = null;
        cluster = null;
        loaded = false;
        followed.follow();
        caretaking.ended();
        if (following != null) {
            following.ended();
        }
        if (tracing != null) {
            tracing.ended();
        }
    }

    @Override
    public ObjectNode news() {
        ObjectNode m = Cbor.map();
        double now = loop.now();
        if (cluster != null && loaded && now >= newsAt) {
            // The next peer asked in the same round gets it too.
            loop.after(0.05, () -> newsAt = loop.now() + NEWS_EVERY_S);
            counts.count(cluster, m);
        }
        return m;
    }

    @Override
    public void asking(String peer, ObjectNode request) {
        if (loaded) {
            standby.ask(peer, request, cluster);
            caretaking.ask(peer, request, cluster, followed.knownUntil(), loop.now());
        }
    }

    @Override
    public String successor() {
        return standby.successor();
    }

    @Override
    public void handingOver(String peer, ObjectNode message) {
        standby.handingOver(peer, message);
    }

    /** Another leader says that it acts no more. */
    public void over(HttpServerExchange exchange, byte[] body) {
        try {
            ObjectNode m = Cbor.decodeJson(body);
            standby.over(m);
            leadership.over(m);
            HttpServing.json(exchange, 200, Cbor.map());
        } catch (BadMessage e) {
            counters.badMessages++;
            HttpServing.status(exchange, 400);
        }
    }

    /**
     * This controller is about to stop: it decides nothing more, waits a moment for what it sent to be answered and for what
     * it writes to be stored, and hands over.
     */
    void leave(Runnable left) {
        leaving = true;
        leave(loop.now() + SETTLE_S, left);
    }

    private void leave(double until, Runnable left) {
        boolean settled = cluster == null || !cluster.ordersOpen() && committer.waiting() == 0;
        if (!settled && loop.now() < until) {
            loop.after(TICK_S / 4, () -> leave(until, left));
            return;
        }
        boolean led = cluster != null;
        leadership.election().resign("it stops", loop.now());
        loop.after(led ? FAREWELL_S : 0, left);
    }

    @Override
    public void answered(String peer, ObjectNode answer, double sentAt) {
        standby.answered(peer, answer);
        caretaking.answered(peer, answer, sentAt, loop.now());
    }

    /** A leader that no worker reaches, while there are some, lets another lead. */
    private void handOverIfCutOff(double now) {
        double quiet = 2.5 * settings.workers().reportS();
        if (now - ledSince < quiet + settings.workers().leaseS() || peers == null || settings.peers().isEmpty()) {
            return;
        }
        int up = 0;
        for (Machine m : cluster.machines()) {
            if (m.state() == Machine.State.UP || m.state() == Machine.State.DRAINING) {
                up++;
            }
        }
        if (up >= 3 && now - counters.directReportAt > quiet) {
            leadership.election().resign("no worker reaches this controller", now);
        }
    }

    // ---- reports ----

    Reports reports() {
        return reports;
    }

    /** The answer to a report, if this controller may give one. */
    private ObjectNode lead(MachineReport report) {
        double now = loop.now();
        Election election = leadership.election();
        if (!election.mayAct(now)) {
            return null;
        }
        if (!loaded) {
            // Its lease is kept; what it says is taken in once the records are read.
            return report.token() > election.term() ? null : Codec.answer(election.term(), List.of());
        }
        List<Command> commands = cluster.onReport(report, now);
        counters.reportS += loop.now() - now;
        soon();
        return commands == null ? null : Codec.answer(election.term(), commands);
    }

    // ---- peers ----

    public void grant(HttpServerExchange exchange, byte[] body) {
        ObjectNode m;
        try {
            m = Cbor.decodeJson(body);
        } catch (BadMessage e) {
            counters.badMessages++;
            HttpServing.status(exchange, 400);
            return;
        }
        leadership.heard(m);
        leadership.heardLeader(m.path("from").asText());
        boolean granted = m.path("term").isIntegralNumber() && leadership.election().grant(m.path("term").asLong(), loop.now());
        if (cluster == null) {
            counts.take(m);
        }
        ObjectNode answer = Cbor.map().put("granted", granted).put("state_ok", state.failingFor() == 0);
        standby.asked(m, m.path("term").asLong(), answer);
        caretaking.asked(m, m.path("term").asLong(), answer, loop.now());
        HttpServing.json(exchange, 200, answer);
    }

    /** Traces jobs from here on. */
    void trace(Tracing by) {
        tracing = by;
        admission.watch(by::submitted);
    }

    Tracing tracing() {
        return tracing;
    }

    /** What follows jobs for gRPC; made by whoever starts this controller, as that takes a while. */
    Following follow(GrpcSettings grpc) throws IOException {
        return new Following(grpc, settings, state, admission, loop, thread, peers, () -> leadership.election().leader());
    }

    /** It goes along from here on. */
    void following(Following made) {
        following = made;
        following.begin();
        if (cluster != null) {
            following.began(cluster.term());
        }
    }

    public void events(HttpServerExchange exchange, byte[] body) {
        try {
            ObjectNode request = Cbor.decodeJson(body);
            HttpServing.json(exchange, 200, following == null ? Cbor.map() : following.answer(request));
        } catch (BadMessage e) {
            counters.badMessages++;
            HttpServing.status(exchange, 400);
        }
    }

    Following following() {
        return following;
    }

    // ---- users ----

    Admission admission() {
        return admission;
    }

    public UserApi api() {
        return api;
    }

    public boolean healthy() {
        return !cloud.types().isEmpty() && !leadership.aloneWithoutState();
    }

    Cluster cluster() {
        return cluster;
    }

    Election election() {
        return leadership.election();
    }

    /** How many connections from outside are open, once they are taken at all. */
    void incoming(LongSupplier open) {
        connections.incoming(open);
    }

    Standby standby() {
        return standby;
    }

    Followed followed() {
        return followed;
    }

    boolean mandated() {
        return caretaking.mandated(loop.now());
    }

    int workerConnections() {
        return connections.size();
    }

    int orderLines() {
        return workers.open();
    }

    int writesWaiting() {
        return committer.waiting();
    }

    // ---- effects ----

    private boolean mayAct() {
        return leadership.election().mayAct(loop.now());
    }

    @Override
    public void orders(Machine machine, long session, List<Command> commands) {
        Cluster asking = cluster;
        if (!mayAct() || machine.address() == null) {
            loop.after(0, () -> ordersEnded(asking, machine.name, Cluster.OrderOutcome.NOT_TRIED, null));
            return;
        }
        counters.orders++;
        workers.orders(machine.address(), leadership.election().term(), session, commands, loop.now(),
                (outcome, report) -> ordersEnded(asking, machine.name, outcome, report));
    }

    private void ordersEnded(Cluster asking, String machine, Cluster.OrderOutcome outcome, MachineReport report) {
        if (cluster == asking && asking != null) {
            asking.onOrders(machine, outcome, report, loop.now());
            if (outcome == Cluster.OrderOutcome.UNANSWERED) {
                counters.unanswered++;
            }
            soon();
        }
    }

    private void ifStored(Consumer<Store> what) {
        if (store != null) {
            what.accept(store);
        }
    }

    @Override
    public void happened(Job job, Happening what) {
        if (tracing != null) {
            tracing.happened(job, what);
        }
        if (following != null && cluster != null) {
            following.happened(job, what, cluster.recovered(), System.currentTimeMillis());
        }
    }

    @Override
    public void storeProgress(int page, List<TaskProgress> progress) {
        ifStored(s -> s.progress(page, progress));
    }

    @Override
    public void storeDone(JobSpec job, long version) {
        ifStored(s -> s.done(job, version));
    }

    @Override
    public void storeCancelled(JobRecord job) {
        ifStored(s -> s.cancelled(job));
    }

    @Override
    public void lookUp(String job) {
        ifStored(s -> s.lookUp(job));
    }

    @Override
    public void storeStarts(int page, List<Placement> starts) {
        ifStored(s -> s.starts(page, starts));
    }

    @Override
    public void storeImages(int page, List<Machine> machines) {
        ifStored(s -> s.images(page, machines));
    }

    @Override
    public void rent(Rental rental) {
        cloud.rent(rental);
    }

    @Override
    public void giveBack(List<String> machines) {
        cloud.giveBack(machines);
    }
}
