package io.kelphoist.events;

/** The receiver of a subscription's events. Called on the event thread only. */
public interface Subscriber {
    /**
     * Whether an event would be sent without being buffered. When this changes from false to true,
     * {@link EventBroker#onReady} must be called.
     */
    boolean isReady();

    /**
     * Receives the next event.
     *
     * @param cursor the cursor to resume from after this event
     */
    void onEvent(JobEvent event, Cursor cursor);

    /**
     * Called when the reachability of the state store has changed. While the store is unreachable,
     * events may be delayed.
     *
     * @param cursor the cursor to resume from after the last event
     */
    void onStoreReachabilityChanged(boolean storeReachable, Cursor cursor);

    /**
     * Called when the subscription has ended; no other call follows.
     *
     * @param cursor the cursor to resume from after the last event
     */
    void onEnded(EndReason reason, Cursor cursor);

    /** The reason why a subscription has ended. */
    enum EndReason {
        /** All jobs that the filter names have ended, and their final events were delivered. */
        COMPLETE,
        /** The subscriber read too slowly; it can resume from the cursor. */
        SLOW,
        /** This controller is shutting down; the subscriber can resume at another controller. */
        DRAINED,
        /**
         * The cursor's revision is higher than the state store's: the cursor is from another
         * deployment, or the store has lost data.
         */
        CURSOR_AHEAD
    }
}
