package io.kelphoist.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * The machines of one run of the allocator, ranked for the jobs that choose among them. A job with many tasks looks at
 * every machine once and not once a task: between two tasks only machines that something was placed on or taken from
 * can have changed, and these are looked at again. The choice is the one that looking at all of them would give.
 */
final class Candidates {
    /** A machine's rank for one job as of its version; among equals the one that was offered first. */
    private record Rank(double cost, int order, Machine machine, int version) { }

    private static final Comparator<Rank> CHEAPEST = Comparator.comparingDouble(Rank::cost).thenComparingInt(Rank::order);

    private static final class Ranked {
        final PriorityQueue<Rank> ranks = new PriorityQueue<>(CHEAPEST);
        int seen;
    }

    private final List<Machine> machines;
    private final Map<Machine, Integer> order = new IdentityHashMap<>();
    private final Map<Job, Ranked> jobs = new IdentityHashMap<>();
    private final List<Machine> touched = new ArrayList<>();
    private long considered;

    Candidates(List<Machine> machines) {
        this.machines = machines;
    }

    List<Machine> machines() {
        return machines;
    }

    /** How many machines were looked at. */
    long considered() {
        return considered;
    }

    /** Something was placed on a machine, or taken from it, in this run. */
    void touched(Machine m) {
        touched.add(m);
    }

    /** The job asks no more in this run. */
    void forget(Job job) {
        jobs.remove(job);
    }

    /** The best machine for one more task of the job; null: none is allowed. */
    Machine best(Offer offer, Job job) {
        number();
        Ranked ranked = jobs.get(job);
        if (ranked == null) {
            ranked = new Ranked();
            jobs.put(job, ranked);
            for (Machine m : machines) {
                rank(offer, job, m, ranked);
            }
        } else {
            for (Machine m : touched.subList(ranked.seen, touched.size())) {
                if (order.containsKey(m)) {
                    rank(offer, job, m, ranked);
                }
            }
        }
        ranked.seen = touched.size();
        for (Rank first = ranked.ranks.peek(); first != null; first = ranked.ranks.peek()) {
            // Where its job's other tasks are may rule a machine out, and within a run nothing lets it in again.
            if (first.version == first.machine.version() && offer.allows(job, first.machine)) {
                return first.machine;
            }
            ranked.ranks.poll();
        }
        return null;
    }

    /** Only in runs in which something chooses by rank: gangs do not. */
    private void number() {
        if (order.isEmpty()) {
            for (int i = 0; i < machines.size(); i++) {
                order.put(machines.get(i), i);
            }
        }
    }

    private void rank(Offer offer, Job job, Machine m, Ranked into) {
        considered++;
        if (offer.allows(job, m)) {
            into.ranks.add(new Rank(Placing.cost(job, m), order.get(m), m, m.version()));
        }
    }
}
