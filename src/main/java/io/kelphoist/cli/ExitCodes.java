package io.kelphoist.cli;

/** Exit codes of the users' commands. */
final class ExitCodes {
    /** The command succeeded, and no watched job was cancelled. */
    static final int OK = 0;

    /** The command failed. */
    static final int FAILED = 1;

    /** At least one watched job was cancelled. */
    static final int CANCELLED = 3;

    private ExitCodes() {}
}
