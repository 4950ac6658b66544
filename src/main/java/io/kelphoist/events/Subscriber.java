package io.kelphoist.events;

/** The receiver of a subscription's events. Called on the events' thread only. */
public interface Subscriber {
    /**
     * Whether an event would be sent without being buffered. Once that becomes true again, {@link
     * EventBroker#onReady} must be called.
     */
    boolean isReady();

    /**
     * Receives the next event.
     *
     * @param cursor resumes after this event
     */
    void onEvent(JobEvent event, Cursor cursor);

    /**
     * Receives whether later events are current, or may lag as the state store is unavailable.
     *
     * @param cursor resumes after the last event
     */
    void onStoreReachabilityChanged(boolean storeReachable, Cursor cursor);

    /**
     * The subscription has ended, nothing follows.
     *
     * @param cursor resumes after the last event
     */
    void onEnded(EndReason reason, Cursor cursor);

    /** Why a subscription has ended. */
    enum EndReason {
        /** All jobs that it names have ended, and their ends were delivered. */
        COMPLETE,
        /** The subscriber reads too slowly; it can resume from the cursor. */
        SLOW,
        /** This controller shuts down; the subscriber can resume at another one. */
        DRAINED,
        /**
         * The cursor is ahead of the state store: it is from another deployment, or the store lost
         * data.
         */
        CURSOR_AHEAD
    }
}
