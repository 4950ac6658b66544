package io.kelphoist.leadership;

import io.kelphoist.statestore.GroupCommitter;
import io.kelphoist.statestore.StateStoreClient;
import io.kelphoist.worker.WorkerClient;

/** Access to the systems that a leader uses: the state store, the cloud and the workers. */
public record ExternalSystems(
        StateStoreClient stateClient,
        GroupCommitter committer,
        CloudGateway cloudGateway,
        WorkerClient workerClient) {}
