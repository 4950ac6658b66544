package io.kelphoist.config;

import java.util.Set;

/** The teams on whose behalf a client of the gRPC server may act. */
public sealed interface TeamAccess {
    /** Access to the jobs of all teams, and to jobs whose stored record has no owner. */
    record AllTeams() implements TeamAccess {}

    /**
     * Access to the jobs of some teams.
     *
     * @param teams names of the teams; empty for a client without access
     */
    record NamedTeams(Set<String> teams) implements TeamAccess {}
}
