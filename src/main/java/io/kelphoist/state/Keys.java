package io.kelphoist.state;

/** Keys at the state service. */
public final class Keys {
    /** Below it: leadership. */
    public static final String LEADERSHIP = "k/";
    public static final String TERM = "k/term";
    public static final String LEADER = "k/leader";
    public static final String TYPES = "c/types";
    public static final String JOBS = "j/";
    /** Done tasks of jobs that are not done. */
    public static final String PROGRESS = "d/";
    /** Machines that may run tasks. */
    public static final String MACHINES = "m/";

    private Keys() { }

    public static String job(String id) {
        return JOBS + id;
    }

    /** Progress is kept in pieces, so that no value is too large. */
    public static String progress(String id, int piece) {
        return PROGRESS + id + "/" + piece;
    }

    public static String machine(String name) {
        return MACHINES + name;
    }
}
