package io.kelphoist.leadership;

/**
 * Handlers of all data that a controller replicates from the state store or exchanges with other
 * controllers. Each handler lives as long as its controller process. Those that depend on the role
 * of the controller are notified when a term starts or ends here.
 */
public record ReplicationHandlers(
        RecordReplication records,
        MachineStateReplication machineStates,
        TaskCountReplication taskCounts,
        LeaseDelegationHandler leaseDelegation,
        CancellationReplication cancellations) {}
