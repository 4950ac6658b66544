package io.kelphoist.leadership;

import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.TaskAttempt;
import io.kelphoist.statestore.protocol.RecordMutation;
import io.kelphoist.statestore.protocol.StartPageEncoder;
import java.util.List;
import java.util.function.IntFunction;

/** Encodes the scheduler's task attempts as pages of recorded task starts. */
public final class StartPages {
    private StartPages() {}

    /**
     * Encodes a page of attempts that may be running, or may soon be started, on their machines: a
     * start is stored before its start command is sent.
     *
     * @param zoneName returns the name of a zone by its index
     */
    public static RecordMutation encode(
            int pageNumber, List<TaskAttempt> attempts, IntFunction<String> zoneName) {
        StartPageEncoder encoder = new StartPageEncoder(pageNumber);
        for (TaskAttempt attempt : attempts) {
            Machine machine = attempt.machine();
            encoder.add(
                    machine.name(),
                    machine.type().name(),
                    zoneName.apply(machine.zone()),
                    machine.spot(),
                    attempt.job().spec().id(),
                    attempt.taskIndex());
        }
        return encoder.toMutation();
    }
}
