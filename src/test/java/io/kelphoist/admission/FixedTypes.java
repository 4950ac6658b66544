package io.kelphoist.admission;

import io.kelphoist.core.MachineType;
import java.util.List;

/** A controller that knows these machine types, and nothing of what runs. */
public record FixedTypes(List<MachineType> types) implements Admission.Knowledge {
    @Override
    public Admission.Counts counts(String job) {
        return null;
    }
}
