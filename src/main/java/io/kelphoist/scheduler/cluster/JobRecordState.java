package io.kelphoist.scheduler.cluster;

/**
 * What is known of a job's record at the state store: the newest version that was received, and
 * whether a write of the job's end (done or cancelled) is in flight. Owns this state.
 */
public final class JobRecordState {
    private long version;
    private boolean endBeingStored;

    JobRecordState(long version) {
        this.version = version;
    }

    /** The version of the newest record that was received. */
    public long version() {
        return version;
    }

    /** Called when a newer record was received. */
    public void onNewerVersion(long newVersion) {
        version = newVersion;
    }

    /** Whether a write of the end was sent to the state store and has not returned an outcome. */
    public boolean isEndBeingStored() {
        return endBeingStored;
    }

    /** Called when a write of the end is sent to the state store. */
    public void beginStoringEnd() {
        endBeingStored = true;
    }

    /** Called when the write of the end failed or its outcome is unknown: it must be sent again. */
    public void onEndNotStored() {
        endBeingStored = false;
    }
}
