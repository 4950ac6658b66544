package io.kelphoist.statestore;

/**
 * Limits the transactions in flight of a {@link GroupCommitter}. The next one waits for the newest,
 * so that writes gather for it meanwhile, but not for one whose response is slow. Runs on the event
 * loop.
 */
final class TransactionWindow {
    /**
     * A transaction that has had no response for longer than this does not delay the next one. The
     * usual latency is about 10 ms.
     */
    static final double SLOW_TRANSACTION_SECONDS = 0.25;

    private final int maxInFlight;
    private int inFlight;

    /** Number of the transaction that was sent last, counted from 1; 0 if none was sent. */
    private long newestNumber;

    private double newestSentAtSeconds;

    /** Whether the transaction that was sent last has ended, also without a response. */
    private boolean newestHasEnded = true;

    TransactionWindow(int maxInFlight) {
        this.maxInFlight = maxInFlight;
    }

    /** Returns whether no transaction may be sent now. */
    boolean mustWait(double nowSeconds) {
        return inFlight >= maxInFlight
                || (!newestHasEnded && nowSeconds < newestSentAtSeconds + SLOW_TRANSACTION_SECONDS);
    }

    /** Counts a transaction that is sent now, and returns its number for {@link #onEnded}. */
    long onSent(double nowSeconds) {
        inFlight++;
        newestSentAtSeconds = nowSeconds;
        newestHasEnded = false;
        return ++newestNumber;
    }

    /** Must be called once for each transaction. */
    void onEnded(long number) {
        inFlight--;
        newestHasEnded |= number == newestNumber;
    }
}
