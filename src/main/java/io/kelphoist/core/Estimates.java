package io.kelphoist.core;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;

/**
 * How long tasks run. Owners' estimates are wrong, on some days all in one direction, so that they are corrected per
 * class by what was seen.
 */
final class Estimates {
    private static final double WEIGHT = 0.1;
    private static final double LEAST = 0.2;
    private static final double MOST = 5;
    private final Object2DoubleOpenHashMap<String> ratio = new Object2DoubleOpenHashMap<>();

    Estimates() {
        ratio.defaultReturnValue(1);
    }

    void ran(JobSpec spec, double seconds) {
        if (spec.estimateS() > 0) {
            double seen = Math.max(LEAST, Math.min(MOST, seconds / spec.estimateS()));
            double old = ratio.getDouble(spec.jobClass());
            ratio.put(spec.jobClass(), old + WEIGHT * (seen - old));
        }
    }

    double runSeconds(JobSpec spec) {
        return spec.kind() == JobKind.SERVICE ? Double.POSITIVE_INFINITY : spec.estimateS() * ratio.getDouble(spec.jobClass());
    }

    /** Seconds until an attempt probably ends. One that runs longer than thought is taken to be half way. */
    double remaining(Placement p, double now) {
        double all = runSeconds(p.job.spec);
        if (Double.isNaN(p.runningSince)) {
            return all;
        }
        double ran = now - p.runningSince;
        return ran < all ? all - ran : ran;
    }
}
