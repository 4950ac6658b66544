package io.kelphoist.statestore;

/** The faults of a simulated state store that affect all controllers. */
public final class StateStoreFaults {
    private boolean unavailable;
    private int lateTransactionsPerTen;
    private int lostResponsesPerTen;

    /** Returns whether the store responds to no controller. */
    public boolean isUnavailable() {
        return unavailable;
    }

    /**
     * Sets whether the store is unavailable. While it is, requests that arrive are not executed and
     * held watch requests get no response. A transaction that was chosen to be late or without
     * response when it was sent is applied even then.
     */
    public void setUnavailable(boolean unavailable) {
        this.unavailable = unavailable;
    }

    int lateTransactionsPerTen() {
        return lateTransactionsPerTen;
    }

    /** Sets how many of ten transactions are applied seconds late and get no response. */
    public void setLateTransactionsPerTen(int count) {
        lateTransactionsPerTen = count;
    }

    int lostResponsesPerTen() {
        return lostResponsesPerTen;
    }

    /** Sets how many of ten transactions are applied after the usual delay and get no response. */
    public void setLostResponsesPerTen(int count) {
        lostResponsesPerTen = count;
    }
}
