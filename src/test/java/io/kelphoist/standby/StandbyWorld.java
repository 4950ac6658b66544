package io.kelphoist.standby;

import io.kelphoist.core.CloudMachine;
import io.kelphoist.core.CloudPage;
import io.kelphoist.core.Cluster;
import io.kelphoist.core.Command;
import io.kelphoist.core.Effects;
import io.kelphoist.core.ExitReason;
import io.kelphoist.core.JobKind;
import io.kelphoist.core.JobRecord;
import io.kelphoist.core.JobSpec;
import io.kelphoist.core.JobStatus;
import io.kelphoist.core.Machine;
import io.kelphoist.core.MachineReport;
import io.kelphoist.core.MachineType;
import io.kelphoist.core.OtherAnswers;
import io.kelphoist.core.PageOutcome;
import io.kelphoist.core.Placement;
import io.kelphoist.core.Policy;
import io.kelphoist.core.Priority;
import io.kelphoist.core.Rental;
import io.kelphoist.core.Resources;
import io.kelphoist.core.StartedTask;
import io.kelphoist.core.TaskPhase;
import io.kelphoist.core.TaskProgress;
import io.kelphoist.core.TaskRef;
import io.kelphoist.core.TaskReport;
import io.kelphoist.core.Team;
import io.kelphoist.core.ToldMachine;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * Leaders one after the other over a handful of workers, with a network that holds, drops and mixes up what it carries.
 * What earlier leaders sent comes when it comes; copies of reports come up to three leases late; what is sent to a worker
 * may be lost while its own reports arrive; and a machine may be back at once, counting from 1 again.
 * Every start that a worker executes is held against the
 * rules: no task on two machines, no team past its limit. When all that is over, as much runs as may.
 */
final class StandbyWorld {
    private static final double REPORT_S = 2;
    private static final double LEASE_S = 10;
    private static final int WORKERS = 5;
    private static final int LIMIT = 7;
    private static final MachineType TYPE = new MachineType("m", new Resources(8, 2, 64), 50, 1, 8, 3, 25, List.of("a"));
    private static final Team TEAM = new Team("t", new Resources(1e6, 4, 1e6), new Resources(1e6, LIMIT, 1e6));

    private final class Worker {
        final String name;
        final Map<String, Long> on = new LinkedHashMap<>();
        final Map<String, ExitReason> exited = new LinkedHashMap<>();
        long token;
        long session = 1;
        long seq;
        double leaseFrom;
        double reportAt;
        boolean cut;
        /** Its reports arrive, but nothing that is sent to it. */
        boolean deaf;
        /** The cloud has taken it. */
        boolean gone;

        Worker(int number) {
            name = "vm-" + number;
            reportAt = number * 0.3;
        }

        String address() {
            return name + ":1";
        }

        MachineReport report() {
            List<TaskReport> tasks = new ArrayList<>();
            on.forEach((task, attempt) -> tasks.add(said(task, attempt, TaskPhase.RUNNING, null)));
            exited.forEach((key, why) -> tasks.add(said(key.substring(0, key.indexOf('@')), Long.parseLong(key.substring(key.indexOf('@') + 1)),
                    TaskPhase.EXITED, why)));
            return new MachineReport(name, address(), "m", "a", false, session, ++seq, token, null, tasks);
        }

        private TaskReport said(String task, long attempt, TaskPhase phase, ExitReason why) {
            int slash = task.indexOf('/');
            return new TaskReport(task.substring(0, slash), Integer.parseInt(task.substring(slash + 1)), attempt, phase, why, false);
        }

        /** Back at once, with nothing of what it knew. */
        void restart() {
            on.clear();
            exited.clear();
            token = 0;
            session = 1;
            seq = 0;
            leaseFrom = now;
            restarts++;
            // What was on its way went to connections that are no more.
            network.stream().filter(o -> o.to == this).forEach(o -> o.lost = true);
        }

        void expire() {
            if (now > leaseFrom + LEASE_S) {
                on.clear();
                exited.clear();
                session++;
                leaseFrom = now;
                expired++;
            }
        }

        boolean obey(long its, List<Command> commands) {
            if (its < token) {
                return false;
            }
            token = its;
            for (Command c : commands) {
                String task = c.job() + "/" + c.task();
                String key = task + "@" + c.attempt();
                if (c instanceof Command.Start && !exited.containsKey(key) && !on.containsValue(c.attempt())) {
                    if (on.containsKey(task)) {
                        exited.put(key, ExitReason.BUSY);
                    } else {
                        begin(task, c.attempt());
                    }
                } else if (c instanceof Command.Stop && on.remove(task, c.attempt())) {
                    exited.put(key, ExitReason.STOPPED);
                } else if (c instanceof Command.Forget) {
                    exited.remove(key);
                }
            }
            return true;
        }

        private void begin(String task, long attempt) {
            for (Worker other : workers) {
                if (other.on.containsKey(task)) {
                    throw new AssertionError(task + " is on " + other.name + " and starts on " + name + " at " + now);
                }
            }
            starts++;
            if (results.contains(task)) {
                // Its result is kept: it ends as soon as it is started again.
                exited.put(task + "@" + attempt, ExitReason.DONE);
                return;
            }
            on.put(task, attempt);
            int gpus = workers.stream().mapToInt(w -> w.on.size()).sum();
            if (gpus > LIMIT) {
                throw new AssertionError(gpus + " tasks at " + now);
            }
        }
    }

    /** Something on its way to a worker; the leader gives it up after a while, and it may come all the same. */
    private final class Order {
        final Leader from;
        final Worker to;
        final String asked;
        final long session;
        final List<Command> commands;
        final double givenUpAt;
        final boolean check;
        boolean answered;
        boolean lost;

        Order(Leader from, Worker to, String asked, long session, List<Command> commands, boolean check) {
            this.check = check;
            this.from = from;
            this.to = to;
            this.asked = asked;
            this.session = session;
            this.commands = commands;
            this.givenUpAt = now + (commands.isEmpty() ? 1 : 2.5);
        }

        void arrive() {
            to.expire();
            boolean done = session == to.session && to.obey(from.term, commands);
            end(done ? Cluster.OrderOutcome.EXECUTED : Cluster.OrderOutcome.REFUSED, to.report());
        }

        void end(Cluster.OrderOutcome outcome, MachineReport report) {
            if (answered) {
                return;
            }
            answered = true;
            if (check) {
                from.cluster.onChecked(asked, outcome, report, now);
            } else if (commands.isEmpty()) {
                from.cluster.onAsked(asked, outcome, report, now);
                from.takeOver.answered(asked, outcome, report);
            } else {
                from.cluster.onOrders(asked, outcome, report, now);
            }
        }
    }

    private final class Leader implements Effects {
        final long term;
        final TakeOver takeOver;
        final Cluster cluster;
        final double beganAt = now;
        final Telling telling = new Telling();
        double silentUntil;
        double ledAfter = Double.NaN;

        Leader(long term) {
            this.term = term;
            takeOver = new TakeOver(term, 1.25 * REPORT_S, 1, questions, this::ask, now);
            Policy policy = new Policy(List.of("a"), List.of(TEAM), REPORT_S, LEASE_S, 3, 5, 1, 20, 15, 0, 1e6, 600, 0.01, 0.01, Map.of());
            cluster = new Cluster(policy, this, OtherAnswers.NONE, takeOver, term, List.of(TYPE), now);
        }

        void load() {
            jobs.values().forEach(j -> cluster.onJob(j, 0, now));
            pages.forEach((page, starts) -> starts.forEach(s -> cluster.onStartLoaded(page, s, now)));
            cluster.onLoaded(now);
            takeOver.read(revision, termRevision, now);
        }

        private void ask(Machine machine, long session) {
            send(machine, Math.max(1, session), List.of(), false);
        }

        @Override
        public void check(Machine machine) {
            send(machine, Math.max(1, machine.session()), List.of(), true);
        }

        @Override
        public void orders(Machine machine, long session, List<Command> commands) {
            send(machine, session, commands, false);
        }

        private void send(Machine machine, long session, List<Command> commands, boolean check) {
            Worker to = workers.stream().filter(w -> w.address().equals(machine.address())).findFirst().orElse(workers.get(0));
            network.add(new Order(this, to, machine.name, session, List.copyOf(commands), check));
        }

        void tick() {
            // One whose lease and grants are over may not act; what it sent before may still come.
            if (now < silentUntil || cluster.deposed() || !leads()) {
                return;
            }
            takeOver.run(cluster.machines(), now);
            cluster.tick(now);
            if (Double.isNaN(ledAfter) && cluster.recovered()) {
                ledAfter = now - beganAt;
            }
            telling.take(cluster.toTell());
        }

        private boolean leads() {
            return term == terms;
        }

        @Override
        public void storeStarts(int page, List<Placement> starts) {
            // Conditional on the term: a deposed leader's write fails, whenever it comes.
            if (leads()) {
                pages.put(page, starts.stream().map(p -> new StartedTask(p.machine().name, "m", "a", false,
                        new TaskRef(p.job().spec.id(), p.task()))).toList());
                revision++;
            }
            stored.add(() -> cluster.onStartsStored(page, leads() ? PageOutcome.STORED : PageOutcome.UNSURE));
        }

        @Override
        public void storeProgress(int page, List<TaskProgress> progress) {
            stored.add(() -> cluster.onProgressStored(page, PageOutcome.UNSURE));
        }

        @Override
        public void storeDone(JobSpec job, long version) {
            if (leads()) {
                JobRecord done = new JobRecord(job.id(), null, JobStatus.DONE, 0, ++revision);
                jobs.put(job.id(), done);
                stored.add(() -> cluster.onJob(done, 0, now));
            } else {
                stored.add(() -> cluster.onEndNotStored(job.id()));
            }
        }

        @Override
        public void storeImages(int page, List<Machine> machines) {
            stored.add(() -> cluster.onImagesStored(page, PageOutcome.STORED));
        }

        @Override
        public void storeCancelled(JobRecord job) { }

        @Override
        public void lookUp(String job) { }

        @Override
        public void rent(Rental rental) { }

        @Override
        public void giveBack(List<String> machines) {
            List<String> names = List.copyOf(machines);
            stored.add(() -> {
                if (leads()) {
                    names.forEach(StandbyWorld.this::replace);
                }
                cluster.onReturned(names, now);
            });
        }
    }

    private final Random random;
    private final int questions;
    private final List<Worker> workers = new ArrayList<>();
    private final List<Leader> leaders = new ArrayList<>();
    private final List<Order> network = new ArrayList<>();
    private final List<Runnable> stored = new ArrayList<>();
    /** Copies of reports, and when they come. */
    private record Copy(MachineReport report, double at) { }

    private final List<Copy> copies = new ArrayList<>();
    private final Map<String, JobRecord> jobs = new LinkedHashMap<>();
    private final Map<Integer, List<StartedTask>> pages = new TreeMap<>();
    private final Set<String> results = new HashSet<>();
    private final Picture picture = new Picture();
    private double now = 100;
    private int nextWorker = WORKERS + 10;
    private long terms;
    private long revision = 10;
    private long termRevision;
    /** Nothing is lost any more. */
    private boolean calm;
    int starts;
    int expired;
    int quick;
    int restarts;
    int returned;
    int copied;

    StandbyWorld(long seed) {
        this(seed, 2);
    }

    /** @param questions that a leader may have open at a time */
    StandbyWorld(long seed, int questions) {
        this.questions = questions;
        random = new Random(seed);
        for (int i = 0; i < WORKERS; i++) {
            workers.add(new Worker(i));
        }
        workers.forEach(w -> w.leaseFrom = now);
        for (int i = 0; i < 12; i++) {
            JobKind kind = i % 4 == 3 ? JobKind.SERVICE : JobKind.ARRAY;
            JobSpec spec = new JobSpec("job-" + i, "c", "t", kind, i % 2 == 0 ? Priority.NORMAL : Priority.HIGH, 2, new Resources(1, 1, 1), null, null,
                    false, false, false, "img", 1, 60, 0, 0, null, List.of());
            jobs.put(spec.id(), new JobRecord(spec.id(), spec, JobStatus.ACTIVE, 0, ++revision));
        }
        takeOver(0);
    }

    /** @param hints 0: none, 1: what was told, 2: that with all kinds of mistakes */
    void takeOver(int hints) {
        terms++;
        termRevision = ++revision;
        Leader next = new Leader(terms);
        next.load();
        if (hints > 0) {
            for (ToldMachine m : picture.machines()) {
                if (hints == 1 || random.nextInt(4) > 0) {
                    next.cluster.onTold(hints == 1 ? m : wrong(m), now);
                }
            }
            if (hints == 2) {
                next.cluster.onTold(wrong(new ToldMachine("vm-9", "vm-0:1", "m", "a", false, 7, true, false, false, true, now, now + 5)), now);
            }
            next.takeOver.told(now);
        }
        leaders.add(next);
    }

    private ToldMachine wrong(ToldMachine m) {
        return new ToldMachine(m.name(), workers.get(random.nextInt(WORKERS)).address(), m.type(), m.zone(), m.spot(), random.nextInt(4),
                random.nextInt(5) > 0, false, random.nextInt(5) == 0, random.nextBoolean(), m.rentedAt() - random.nextInt(100), Double.POSITIVE_INFINITY);
    }

    /** The leader stands still for a while, and goes on as if nothing had happened. */
    void freeze(double seconds) {
        leaders.get(leaders.size() - 1).silentUntil = now + seconds;
    }

    void cut(int worker, boolean cut) {
        workers.get(worker % WORKERS).cut = cut;
    }

    void deaf(int worker, boolean deaf) {
        workers.get(worker % WORKERS).deaf = deaf;
    }

    void restart(int worker) {
        workers.get(worker % WORKERS).restart();
    }

    /** The cloud takes a machine for good, with all that is on it, and gives another one in its place. */
    private void replace(String name) {
        for (int i = 0; i < workers.size(); i++) {
            if (workers.get(i).name.equals(name)) {
                workers.get(i).gone = true;
                workers.set(i, new Worker(nextWorker++));
                workers.get(i).leaseFrom = now;
                returned++;
            }
        }
    }

    /** All troubles are over: after a while as much runs as the limit and the work that is left allow. */
    void settle() {
        workers.forEach(w -> {
            w.cut = false;
            w.deaf = false;
        });
        freeze(0);
        calm = true;
        pass(90, 0);
        int left = 0;
        for (JobRecord job : jobs.values()) {
            if (job.status() == JobStatus.ACTIVE) {
                for (int task = 0; task < job.spec().tasks(); task++) {
                    left += results.contains(job.id() + "/" + task) ? 0 : 1;
                }
            }
        }
        int running = workers.stream().mapToInt(w -> w.on.size()).sum();
        if (running < Math.min(left, LIMIT)) {
            throw new AssertionError("only " + running + " of " + left + " tasks run when all is over, " + workers.stream().map(w -> w.name + " " + w.session + "." + w.seq + w.on).toList() + leaders.get(leaders.size() - 1).cluster.deposed()
                    + leaders.get(leaders.size() - 1).cluster.machines().stream().map(Machine::toString).toList());
        }
    }

    /** How long the last leader took to its first decision, in seconds. */
    double lastLedAfter() {
        return leaders.get(leaders.size() - 1).ledAfter;
    }

    /** A task ends by itself. */
    void finish(int worker) {
        Worker w = workers.get(worker % WORKERS);
        w.on.keySet().stream().findFirst().ifPresent(task -> {
            w.exited.put(task + "@" + w.on.remove(task), ExitReason.DONE);
            results.add(task);
        });
    }

    /** What the leader tells a follower, now and then lost. */
    void tell() {
        Leader l = leaders.get(leaders.size() - 1);
        Telling.Message m = l.telling.next("f", now);
        if (random.nextInt(4) > 0) {
            picture.take(l.term, m, now);
            l.telling.heard("f", picture.have(l.term), picture.astray());
        }
    }

    void list() {
        List<CloudMachine> all = workers.stream().map(w -> new CloudMachine(w.name, w.address(), "m", "a", false, CloudMachine.CloudState.RUNNING, now)).toList();
        leaders.get(leaders.size() - 1).cluster.onCloudList(List.of(new CloudPage("", true, all)), now);
    }

    /** @param late how often, of ten, what is on its way to a worker is held back for another step */
    void pass(double seconds, int late) {
        for (double end = now + seconds; now < end;) {
            now += 0.1;
            workers.forEach(Worker::expire);
            for (Order o : new ArrayList<>(network)) {
                if (now >= o.givenUpAt) {
                    o.end(Cluster.OrderOutcome.UNANSWERED, null);
                }
                if (o.to.gone || o.lost) {
                    network.remove(o);
                    o.end(o.lost ? Cluster.OrderOutcome.UNANSWERED : Cluster.OrderOutcome.NOT_SENT, null);
                } else if (!o.to.cut && !o.to.deaf && random.nextInt(10) >= late) {
                    network.remove(o);
                    o.arrive();
                } else if (random.nextInt(400) == 0) {
                    network.remove(o);
                    o.end(Cluster.OrderOutcome.UNANSWERED, null);
                }
            }
            List<Runnable> outcomes = new ArrayList<>(stored);
            stored.clear();
            outcomes.forEach(Runnable::run);
            for (Copy c : new ArrayList<>(copies)) {
                if (now >= c.at) {
                    copies.remove(c);
                    copied++;
                    Leader to = leaders.get(leaders.size() - 1);
                    if (now >= to.silentUntil && !to.cluster.deposed()) {
                        to.cluster.onReport(c.report, "copy", now);
                    }
                }
            }
            for (Worker w : workers) {
                if (!w.cut && now >= w.reportAt) {
                    w.reportAt = now + REPORT_S * (0.75 + random.nextDouble() / 2);
                    report(w);
                }
            }
            leaders.forEach(Leader::tick);
        }
        quick = (int) leaders.stream().filter(l -> l.ledAfter < 1.25 * REPORT_S - 0.2).count();
    }

    private void report(Worker w) {
        Leader to = leaders.get(leaders.size() - 1);
        if (now < to.silentUntil || to.cluster.deposed()) {
            return;
        }
        double sentAt = now;
        MachineReport report = w.report();
        if (random.nextInt(8) == 0) {
            copies.add(new Copy(report, now + random.nextDouble() * 3 * LEASE_S));
        }
        List<Command> commands = to.cluster.onReport(report, "", now);
        if (commands != null && !w.deaf && (calm || random.nextInt(3) > 0) && w.obey(to.term, commands)) {
            w.leaseFrom = Math.max(w.leaseFrom, sentAt);
        }
    }

}
