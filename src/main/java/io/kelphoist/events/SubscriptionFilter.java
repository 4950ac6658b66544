package io.kelphoist.events;

import com.google.common.collect.ImmutableSortedSet;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.kelphoist.model.JobOwner;
import java.nio.charset.StandardCharsets;

/** Selects the jobs of a subscription. */
public sealed interface SubscriptionFilter {
    /**
     * Whether the filter selects a job.
     *
     * @param owner null if the job's record has no owner
     */
    boolean matches(String jobId, JobOwner owner);

    /** Returns a hash of the filter, which binds a cursor to the filter that it was issued for. */
    long fingerprint();

    /** Selects the named jobs. The subscription is complete once all of them have ended. */
    record ByJobIds(ImmutableSortedSet<String> jobIds) implements SubscriptionFilter {
        @Override
        public boolean matches(String jobId, JobOwner owner) {
            return jobIds.contains(jobId);
        }

        @Override
        public long fingerprint() {
            Hasher hasher = Hashing.sha256().newHasher();
            hasher.putByte((byte) 'j');
            jobIds.forEach(id -> hashText(hasher, id));
            return hasher.hash().asLong();
        }
    }

    /**
     * Selects the jobs of the given teams and of one job class.
     *
     * @param teams null selects the jobs of all teams, and jobs whose record has no owner
     * @param jobClass null selects the jobs of all classes
     */
    record ByOwner(ImmutableSortedSet<String> teams, String jobClass)
            implements SubscriptionFilter {
        @Override
        public boolean matches(String jobId, JobOwner owner) {
            return (teams == null || (owner != null && teams.contains(owner.team())))
                    && (jobClass == null || (owner != null && jobClass.equals(owner.jobClass())));
        }

        @Override
        public long fingerprint() {
            Hasher hasher = Hashing.sha256().newHasher();
            if (teams == null) {
                hasher.putByte((byte) 'a');
            } else {
                hasher.putByte((byte) 't').putInt(teams.size());
                teams.forEach(team -> hashText(hasher, team));
            }
            if (jobClass != null) {
                hashText(hasher, jobClass);
            }
            return hasher.hash().asLong();
        }
    }

    private static void hashText(Hasher hasher, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        hasher.putInt(bytes.length).putBytes(bytes);
    }
}
