package io.kelphoist.events;

import java.util.Comparator;

/**
 * A position in the total order of stored job records: first by the state store's revision, then by
 * the job's id, because one transaction may change several jobs. A record is at the position of its
 * last change.
 */
public record LogPosition(long revision, String jobId) implements Comparable<LogPosition> {
    private static final Comparator<LogPosition> ORDER =
            Comparator.comparingLong(LogPosition::revision).thenComparing(LogPosition::jobId);

    /** A string that sorts after every job id. */
    private static final String AFTER_ALL_JOBS = "\uffff";

    /** The position before all records. */
    public static final LogPosition START = new LogPosition(0, "");

    /** Returns the position after all records that were stored up to a revision, inclusive. */
    public static LogPosition endOf(long revision) {
        return new LogPosition(revision, AFTER_ALL_JOBS);
    }

    @Override
    public int compareTo(LogPosition other) {
        return ORDER.compare(this, other);
    }

    /** Whether this position is after the other one. */
    boolean isAfter(LogPosition other) {
        return compareTo(other) > 0;
    }

    /** Whether this position is before the other one. */
    boolean isBefore(LogPosition other) {
        return compareTo(other) < 0;
    }
}
