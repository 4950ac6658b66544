package io.kelphoist.statestore.protocol;

/**
 * A condition of a transaction: the key has exactly this version (compare-and-swap).
 *
 * @param version the expected version; {@link #ABSENT} if the key must not exist
 */
public record VersionCondition(String key, long version) {
    /** Version of a key that does not exist. */
    public static final long ABSENT = 0;

    /** Returns the condition that a key does not exist. */
    public static VersionCondition absent(String key) {
        return new VersionCondition(key, ABSENT);
    }
}
