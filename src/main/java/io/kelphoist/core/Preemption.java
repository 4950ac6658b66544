package io.kelphoist.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Makes room for work that found none: holds the machine nearest to fitting it, and stops what the protocol allows
 * to be stopped there: work of lower priority, and work that another team runs beyond its guarantee where the
 * waiting team is within its own.
 */
final class Preemption {
    /** Room often comes free by itself within this time. */
    private static final double PATIENCE_S = 0.3;
    private static final int MOST_PER_RUN = 4;
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
            if (job.spec.kind() == JobKind.ARRAY && !guaranteed || now - job.waitingSince < PATIENCE_S
                    || now < job.machineFilterUntil || !job.team.withinLimit(job.spec.perTask()) || job.gangRan) {
                continue;
            }
            if (alreadyHolds(job, now)) {
                continue;
            }
            if (holdOne(job, guaranteed, now)) {
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

    private boolean holdOne(Job job, boolean guaranteed, double now) {
        Machine best = null;
        List<Placement> bestVictims = List.of();
        double bestCost = Double.POSITIVE_INFINITY;
        for (Machine m : cluster.machines.values()) {
            if (!m.takesWork(now) || m.heldFor != null && m.heldFor.active() && now < m.heldUntil || !Placing.allowed(job, m)) {
                continue;
            }
            List<Placement> victims = victims(job, m, guaranteed, now);
            if (victims == null) {
                continue;
            }
            double cost = Placing.fetchSeconds(job, m);
            for (Placement v : victims) {
                cost += 1 + v.workAtRisk(now) * v.job.spec.perTask().dominantShare(m.type.capacity());
            }
            if (cost < bestCost) {
                bestCost = cost;
                best = m;
                bestVictims = victims;
            }
        }
        if (best == null) {
            return false;
        }
        best.heldFor = job;
        best.heldUntil = now + cluster.policy.machineHoldS();
        for (Placement v : bestVictims) {
            double grace = v.job.spec.checkpoints() ? v.job.spec.saveS() : 0;
            if (v.job.spec.kind() == JobKind.GANG) {
                cluster.stopGang(v.job, grace, now);
            } else {
                cluster.stop(v, grace, now);
            }
        }
        return true;
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
