package io.kelphoist.records;

/** How the write of a page of {@link PackedRecords} ended. */
public enum PageWriteOutcome {
    /** The page is stored. */
    STORED,
    /** The outcome of the write is unknown: the page may be stored or not. */
    UNKNOWN,
    /** The page is not stored: the state store rejects values of this size. */
    TOO_LARGE
}
