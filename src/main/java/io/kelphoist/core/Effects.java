package io.kelphoist.core;

import java.util.BitSet;
import java.util.List;

/** What the core asks of the world around it. Outcomes come back as input events. */
public interface Effects {
    /** Sends commands straight to a worker; outcome: {@link Cluster#onOrders}. */
    void orders(Machine machine, long session, List<Command> commands);

    /** Stores which tasks of a job are done; outcome: {@link Cluster#onProgressStored}. */
    void storeProgress(String job, BitSet done, int tasks);

    /** Stores that a job is done; outcome: {@link Cluster#onJob}. */
    void storeDone(String job, long version, int tasks);

    /** Stores what may be on a machine; outcome: {@link Cluster#onMachineStored}. */
    void storeMachine(Machine machine, MachineContents contents);

    /** Drops a machine's record; outcome: {@link Cluster#onMachineDropped}. */
    void dropMachine(String machine);

    /** Rents machines; outcome: {@link Cluster#onRented}. */
    void rent(Rental rental);

    /** Gives machines back; outcome: {@link Cluster#onReturned}. */
    void giveBack(List<String> machines);
}
