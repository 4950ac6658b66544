package io.kelphoist.scheduler.spi;

/** Counts the starts in one response to a heartbeat, for the metrics. */
public final class SentStarts {
    private int count;
    private int repeatedCount;
    private double waitSeconds;

    /** Counts a start that is sent for the first time. */
    public void onStartSent(double secondsSinceDecision) {
        count++;
        waitSeconds += secondsSinceDecision;
    }

    /** Counts a start that is sent again, as the worker did not receive it. */
    public void onStartRepeated() {
        repeatedCount++;
    }

    /** Number of starts that were sent for the first time. */
    public int count() {
        return count;
    }

    /** Number of starts that were sent again, as the worker did not receive them. */
    public int repeatedCount() {
        return repeatedCount;
    }

    /** Sum of the times since the decision of the starts that were sent for the first time. */
    public double waitSeconds() {
        return waitSeconds;
    }
}
