package io.kelphoist.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Makes room for work that found none: holds the machine nearest to fitting it, and stops what the protocol allows
 * to be stopped there: work of lower priority, and work that another team runs beyond its guarantee where the
 * waiting team is within its own.
 */
final class Preemption {
    /** Room often comes free by itself within this time. */
    private static final double PATIENCE_S = 0.3;
    private static final int MOST_PER_RUN = 4;
    /** What stopping a task costs besides its work, and what a second of lost work counts against a second of waiting. */
    private static final double STOP_S = 0.2;
    private static final double LOST_WORK = 0.05;
    /** Nothing is stopped to save a fetch that is shorter than this. */
    private static final double WORTH_STOPPING_S = 1.0;
    /** Fetches are slower than said by up to a third. */
    private static final double SLOW_FETCH = 1.33;
    private static final Logger LOG = LoggerFactory.getLogger(Preemption.class);
    private final Cluster cluster;

    Preemption(Cluster cluster) {
        this.cluster = cluster;
    }

    void run(List<Job> unplaced, double now) {
        int held = 0;
        for (Job job : unplaced) {
            if (held >= MOST_PER_RUN) {
                return;
            }
            boolean guaranteed = job.team.withinGuarantee(job.spec.perTask());
            double patience = job.spec.priority().compareTo(Priority.HIGH) >= 0 ? 0 : PATIENCE_S;
            if (job.spec.kind() == JobKind.ARRAY && !guaranteed || now - job.waitingSince < patience
                    || now < job.machineFilterUntil || job.gangRan) {
                continue;
            }
            if (!job.team.withinLimit(job.spec.perTask())) {
                makeRoomInTeam(job, now);
                continue;
            }
            if (alreadyHolds(job, now)) {
                continue;
            }
            if (holdOne(job, now)) {
                held++;
            }
        }
    }

    private boolean alreadyHolds(Job job, double now) {
        boolean holds = false;
        for (Machine m : cluster.machines.values()) {
            if (m.heldFor == job) {
                if (now < m.heldUntil && m.takesWork(now)) {
                    holds = true;
                } else {
                    m.heldFor = null;
                    job.machineFilterUntil = now + cluster.policy.offerS();
                }
            }
        }
        return holds;
    }

    /** Where the team's limit is in the way, its own work of lower priority gives way. */
    private void makeRoomInTeam(Job job, double now) {
        Resources need = job.spec.perTask();
        List<Placement> possible = new ArrayList<>();
        Resources freed = Resources.NONE;
        for (Machine m : cluster.machines.values()) {
            for (Placement p : m.placements) {
                if (!p.state().occupies() || p.job.team != job.team) {
                    continue;
                }
                if (p.stopping()) {
                    freed = freed.plus(p.job.spec.perTask());
                } else if (p.job.spec.kind() == JobKind.ARRAY && p.job.spec.priority().compareTo(job.spec.priority()) < 0) {
                    possible.add(p);
                }
            }
        }
        possible.sort(Comparator.comparingDouble(p -> p.workAtRisk(now)));
        List<Placement> victims = new ArrayList<>();
        for (Placement p : possible) {
            if (job.team.withinLimit(need.minus(freed))) {
                break;
            }
            victims.add(p);
            freed = freed.plus(p.job.spec.perTask());
        }
        if (job.team.withinLimit(need.minus(freed))) {
            victims.forEach(v -> cluster.stop(v, v.job.spec.checkpoints() ? v.job.spec.saveS() : 0, now));
        }
    }

    private boolean holdOne(Job job, double now) {
        Plan plan = plan(job, now);
        if (plan == null) {
            return false;
        }
        plan.machine.heldFor = job;
        plan.machine.heldUntil = now + cluster.policy.machineHoldS();
        LOG.debug("machine {} is held for {}, {} tasks stop", plan.machine.name, job.spec.id(), plan.victims.size());
        for (Placement v : plan.victims) {
            double grace = v.job.spec.checkpoints() ? v.job.spec.saveS() : 0;
            if (v.job.spec.kind() == JobKind.GANG) {
                cluster.stopGang(v.job, grace, now);
            } else {
                cluster.stop(v, grace, now);
            }
        }
        return true;
    }

    /**
     * Whether a start after stopping something comes sooner than one that has to fetch its image for so long. Work with
     * a deadline is not stopped for a start that is soon enough for its class anyway.
     */
    boolean beats(double fetchS, Job job, double now) {
        if (fetchS < WORTH_STOPPING_S || alreadyHolds(job, now)) {
            return fetchS >= WORTH_STOPPING_S;
        }
        Plan plan = plan(job, now);
        if (plan == null || plan.victims.isEmpty() || plan.cost >= fetchS) {
            return false;
        }
        double aim = cluster.policy.startWithinS().getOrDefault(job.spec.jobClass(), 0.0);
        boolean soonEnough = now - job.acceptedAt + fetchS * SLOW_FETCH < aim;
        return !soonEnough || plan.victims.stream().noneMatch(v -> v.job.spec.deadlineS() != null);
    }

    /** Where one task of the job would start soonest, what has to stop for it, and what that costs in seconds. */
    private record Plan(Machine machine, List<Placement> victims, double cost) { }

    private Plan plan(Job job, double now) {
        boolean guaranteed = job.team.withinGuarantee(job.spec.perTask());
        Plan best = null;
        for (Machine m : cluster.machines.values()) {
            if (!m.takesWork(now) || m.heldForOther(job, now) || !Placing.allowed(job, m)) {
                continue;
            }
            List<Placement> victims = victims(job, m, guaranteed, now);
            if (victims == null) {
                continue;
            }
            double cost = Placing.fetchSeconds(job, m);
            double grace = 0;
            for (Placement v : victims) {
                grace = Math.max(grace, v.job.spec.checkpoints() ? v.job.spec.saveS() : 0);
                cost += STOP_S + LOST_WORK * v.workAtRisk(now);
            }
            cost += grace;
            if (best == null || cost < best.cost) {
                best = new Plan(m, victims, cost);
            }
        }
        return best;
    }

    /** The cheapest tasks whose end makes the job fit here; null: not possible. */
    private List<Placement> victims(Job job, Machine m, boolean guaranteed, double now) {
        Resources room = m.free();
        List<Placement> possible = new ArrayList<>();
        for (Placement p : m.placements) {
            if (!p.state().occupies()) {
                continue;
            }
            if (p.stopping()) {
                room = room.plus(p.job.spec.perTask());
            } else if (mayStop(job, p, guaranteed)) {
                possible.add(p);
            }
        }
        possible.sort(Comparator.comparing((Placement p) -> p.job.spec.priority()).thenComparingDouble(p -> p.workAtRisk(now)));
        List<Placement> victims = new ArrayList<>();
        for (Placement p : possible) {
            if (job.spec.perTask().fitsIn(room)) {
                break;
            }
            victims.add(p);
            room = room.plus(p.job.spec.perTask());
        }
        return job.spec.perTask().fitsIn(room) ? victims : null;
    }

    private static boolean mayStop(Job job, Placement p, boolean guaranteed) {
        if (p.job.spec.kind() == JobKind.SERVICE) {
            return false;
        }
        if (p.job.spec.priority().compareTo(job.spec.priority()) < 0) {
            return true;
        }
        return guaranteed && p.job.team != job.team && !p.job.team.withinGuarantee(Resources.NONE);
    }
}
