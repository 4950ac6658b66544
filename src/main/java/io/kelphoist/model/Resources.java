package io.kelphoist.model;

/** An amount of each resource, for example a capacity, a demand, free resources or a limit. */
public record Resources(double cpus, double gpus, double memoryGb) {
    /** Zero of each resource. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /**
     * Tolerance for rounding errors, which accumulate as amounts are added and subtracted often.
     */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    /** Returns the sum of each resource. */
    public Resources plus(Resources other) {
        return new Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb);
    }

    /** Returns the difference of each resource. */
    public Resources minus(Resources other) {
        return new Resources(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb);
    }

    /** Returns each resource multiplied by a factor. */
    public Resources times(double factor) {
        return new Resources(cpus * factor, gpus * factor, memoryGb * factor);
    }

    /** Returns the smaller amount of each resource. */
    public Resources min(Resources other) {
        return new Resources(
                Math.min(cpus, other.cpus),
                Math.min(gpus, other.gpus),
                Math.min(memoryGb, other.memoryGb));
    }

    /**
     * Returns whether no resource exceeds that of {@code available}, within the rounding tolerance.
     */
    public boolean fitsIn(Resources available) {
        return cpus <= available.cpus + ROUNDING_TOLERANCE
                && gpus <= available.gpus + ROUNDING_TOLERANCE
                && memoryGb <= available.memoryGb + ROUNDING_TOLERANCE;
    }

    /** Returns the dominant share: the largest fraction that any resource is of {@code total}. */
    public double dominantShare(Resources total) {
        return Math.max(
                fraction(cpus, total.cpus),
                Math.max(fraction(gpus, total.gpus), fraction(memoryGb, total.memoryGb)));
    }

    /**
     * Returns {@code part / whole}; 0 if there is no part or either amount is infinite, 1 if there
     * is a part but no whole.
     */
    private static double fraction(double part, double whole) {
        if (part <= ROUNDING_TOLERANCE || Double.isInfinite(part) || Double.isInfinite(whole)) {
            return 0;
        }
        return whole <= ROUNDING_TOLERANCE ? 1 : part / whole;
    }
}
