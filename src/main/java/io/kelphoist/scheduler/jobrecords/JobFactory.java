package io.kelphoist.scheduler.jobrecords;

import io.kelphoist.model.JobRecord;
import io.kelphoist.model.NameIndex;
import io.kelphoist.model.Team;
import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.cluster.TeamUsage;
import io.kelphoist.scheduler.images.ImageCatalog;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Creates jobs from their records. Owns the resource usage of the configured teams. */
public final class JobFactory {
    private final Map<String, TeamUsage> teamsByName = new LinkedHashMap<>();
    private final ImageCatalog imageCatalog;
    private final NameIndex zones;

    /** Creates a factory for jobs of these teams. */
    public JobFactory(List<Team> teams, ImageCatalog imageCatalog, NameIndex zones) {
        this.imageCatalog = imageCatalog;
        this.zones = zones;
        teams.forEach(team -> teamsByName.put(team.name(), new TeamUsage(team)));
    }

    /**
     * Creates the job of a record; returns null if the job's team is not configured any more.
     *
     * @param record a record with a spec
     * @param acceptedAtSeconds when it was accepted, on the same clock as {@code nowSeconds}
     */
    Job create(JobRecord record, double acceptedAtSeconds, double nowSeconds) {
        TeamUsage team = teamsByName.get(record.spec().team());
        if (team == null) {
            return null;
        }
        int imageIndex = imageCatalog.indexOf(record.spec().image(), record.spec().imageSizeGb());
        return new Job(record, team, imageIndex, zones, acceptedAtSeconds, nowSeconds);
    }

    /** The usage of each configured team by team name, read-only. */
    public Map<String, TeamUsage> teamsByName() {
        return Collections.unmodifiableMap(teamsByName);
    }
}
