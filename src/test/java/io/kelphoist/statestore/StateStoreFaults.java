package io.kelphoist.statestore;

/** The faults of a simulated state store that affect all controllers. */
public final class StateStoreFaults {
    private boolean down;
    private int lateWritesPerTen;
    private int lostResponsesPerTen;

    /** Returns whether the store is down. */
    public boolean isDown() {
        return down;
    }

    /** Sets whether the store is down: no request of any controller is executed then. */
    public void setDown(boolean down) {
        this.down = down;
    }

    int lateWritesPerTen() {
        return lateWritesPerTen;
    }

    /** Sets how many of ten transactions are applied seconds late and get no response. */
    public void setLateWritesPerTen(int count) {
        lateWritesPerTen = count;
    }

    int lostResponsesPerTen() {
        return lostResponsesPerTen;
    }

    /** Sets how many of ten transactions are applied after the usual delay and get no response. */
    public void setLostResponsesPerTen(int count) {
        lostResponsesPerTen = count;
    }
}
