package io.kelphoist.daemon;

import io.kelphoist.admission.Admission;
import io.kelphoist.core.MachineType;
import java.util.Collection;

/** What this controller knows besides the state service, for the answers to users. */
record Known(CloudSide cloud, JobCounts counted, Beat beat) implements Admission.Knowledge {
    @Override
    public Collection<MachineType> types() {
        return cloud.types();
    }

    @Override
    public Admission.Counts counts(String job) {
        return counted.of(job);
    }

    @Override
    public boolean behind() {
        return beat.behind();
    }
}
