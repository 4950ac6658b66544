package io.kelphoist.statestore.protocol;

import io.kelphoist.wire.MalformedMessageException;

/** Keys and key prefixes of the records in the state store. */
public final class StateStoreKeys {
    /** Prefix of {@link #TERM} and {@link #LEADER}. */
    public static final String LEADERSHIP_PREFIX = "k/";

    /** Key of the {@link LeaderRecord} of the newest term; never deleted. */
    public static final String TERM = "k/term";

    /**
     * Key of the {@link LeaderRecord} of the leader; deleted when the leader's lease expires or is
     * revoked.
     */
    public static final String LEADER = "k/leader";

    /** Key of the machine types that the cloud offers. */
    public static final String MACHINE_TYPES = "c/types";

    /** Prefix of job records, one for each job. */
    public static final String JOBS_PREFIX = "j/";

    /** Prefix of pages that list the done tasks of unfinished jobs. */
    public static final String PROGRESS_PREFIX = "p/";

    /** Prefix of pages that list the images in the caches of machines. */
    public static final String IMAGES_PREFIX = "i/";

    /** Prefix of pages that list the tasks that may run on machines. */
    public static final String STARTS_PREFIX = "s/";

    /** Prefix of lease delegation records, one for each controller. */
    public static final String DELEGATIONS_PREFIX = "q/";

    /**
     * Added to a page number before it is written as text. Without its first digit, the sum is the
     * page number with six digits, so that keys sort by page number.
     */
    private static final int PAGE_NUMBER_OFFSET = 1_000_000;

    private StateStoreKeys() {}

    /** Returns the key of a job's record. */
    public static String jobKey(String jobId) {
        return JOBS_PREFIX + jobId;
    }

    /**
     * Returns the key of a page. Keys sort by page number.
     *
     * @param pageNumber 0 to 999,999
     */
    public static String pageKey(String prefix, int pageNumber) {
        return prefix + Integer.toString(PAGE_NUMBER_OFFSET + pageNumber).substring(1);
    }

    /**
     * Decodes the page number in the key of a page, which must start with the prefix.
     *
     * @throws MalformedMessageException if no page number follows the prefix
     */
    public static int pageNumber(String prefix, String key) throws MalformedMessageException {
        try {
            return Integer.parseUnsignedInt(key.substring(prefix.length()));
        } catch (NumberFormatException e) {
            throw new MalformedMessageException(
                    "key " + key + " has no page number after " + prefix);
        }
    }
}
