package io.kelphoist.standby;

import io.kelphoist.core.JobRecord;
import io.kelphoist.core.JobStatus;
import io.kelphoist.core.StartedTask;
import io.kelphoist.core.TaskProgress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A passive copy of the records, kept by every controller so that one that comes to lead need not read them: unfinished
 * jobs whole, ended ones in outline, pages of starts and of done tasks, notes of mandates. It holds each key's last known
 * version, and takes nothing that is older. Pure.
 */
public final class Mirror {
    /** The kinds of record. */
    public enum Part { JOBS, PROGRESS, STARTS, MANDATES }

    /** A value as of the revision of its last change. */
    public record Versioned<V>(V value, long version) { }

    private final Map<String, JobRecord> jobs = new LinkedHashMap<>();
    private final TreeMap<Integer, Versioned<List<TaskProgress>>> progress = new TreeMap<>();
    private final TreeMap<Integer, Versioned<List<StartedTask>>> starts = new TreeMap<>();
    private final Map<String, Versioned<Double>> mandates = new HashMap<>();
    private final EnumMap<Part, Long> revisions = new EnumMap<>(Part.class);
    private int unfinished;

    /** Forgets a part; what comes next is all of it. */
    public void clear(Part part) {
        revisions.remove(part);
        switch (part) {
            case JOBS -> {
                jobs.clear();
                unfinished = 0;
            }
            case PROGRESS -> progress.clear();
            case STARTS -> starts.clear();
            case MANDATES -> mandates.clear();
        }
    }

    /** A part is known as of this revision. */
    public void asOf(Part part, long revision) {
        revisions.merge(part, revision, Math::max);
    }

    /** The oldest revision as of which a part is known; negative: some part is not. */
    public long oldest() {
        return revisions.size() < Part.values().length ? -1 : revisions.values().stream().mapToLong(Long::longValue).min().orElse(-1);
    }

    public void job(JobRecord record) {
        JobRecord known = jobs.get(record.id());
        if (known != null && known.version() >= record.version()) {
            return;
        }
        // A cancelled job's tasks count until they are gone, so that its description is needed as long as it may have some.
        jobs.put(record.id(), record.status() == JobStatus.DONE ? record.outline() : record);
        unfinished += (record.status() == JobStatus.ACTIVE ? 1 : 0) - (known != null && known.status() == JobStatus.ACTIVE ? 1 : 0);
    }

    public void progress(int page, List<TaskProgress> value, long version) {
        put(progress, page, value, version);
    }

    public void starts(int page, List<StartedTask> value, long version) {
        put(starts, page, value, version);
    }

    public void mandate(String controller, double value, long version) {
        put(mandates, controller, value, version);
    }

    private static <K, V> void put(Map<K, Versioned<V>> into, K key, V value, long version) {
        Versioned<V> known = into.get(key);
        if (known == null || known.version <= version) {
            into.put(key, new Versioned<>(value, version));
        }
    }

    public Collection<JobRecord> jobs() {
        return new ArrayList<>(jobs.values());
    }

    public Map<Integer, Versioned<List<TaskProgress>>> progress() {
        return progress;
    }

    public Map<Integer, Versioned<List<StartedTask>>> starts() {
        return starts;
    }

    public Map<String, Versioned<Double>> mandates() {
        return mandates;
    }

    public int unfinished() {
        return unfinished;
    }
}
