package io.kelphoist.contract;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.cloud.CloudClient;
import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.model.ScaleOutRequest;
import io.kelphoist.model.ScaleOutResult;
import io.kelphoist.model.WorkerCommand;
import io.kelphoist.statestore.StateStoreClient;
import io.kelphoist.statestore.protocol.RecordMutation;
import io.kelphoist.statestore.protocol.StateSnapshot;
import io.kelphoist.statestore.protocol.StateStoreResult;
import io.kelphoist.statestore.protocol.StoredChanges;
import io.kelphoist.statestore.protocol.StoredRecord;
import io.kelphoist.statestore.protocol.VersionCondition;
import io.kelphoist.wire.HttpHostClient;
import io.kelphoist.wire.MessageEncoding;
import io.kelphoist.worker.WorkerClient;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * The method, path, content type and body of every request that the clients of the state store, the
 * cloud and the workers send. Guards against a change after which these services reject requests.
 * The clients send them to {@link LoopbackServices}.
 */
@Timeout(30)
class ClientRequestsContractTest {
    private static final String CBOR_CONTENT_TYPE = "application/cbor";

    /** An event loop whose time does not advance. */
    private final EventLoop loop =
            new EventLoop() {
                @Override
                public double nowSeconds() {
                    return 100;
                }

                @Override
                public void schedule(double seconds, Runnable task) {
                    throw new AssertionError(
                            "expected that no request is delayed, but a task was scheduled");
                }
            };

    private LoopbackServices services;
    private XnioWorker xnioWorker;
    private StateStoreClient stateStoreClient;

    @BeforeEach
    void start() throws IOException {
        services = new LoopbackServices(MessageEncoding.newObject());
        xnioWorker =
                Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        stateStoreClient =
                new StateStoreClient(
                        newHttpClient(services.stateStoreAddress),
                        newHttpClient(services.stateStoreAddress),
                        newHttpClient(services.stateStoreAddress),
                        loop,
                        1000,
                        this::onMalformedResponse);
    }

    @AfterEach
    void stop() {
        xnioWorker.shutdownNow();
        services.close();
    }

    @Test
    void requestsToTheStateStoreStayTheSame() {
        ObjectNode value = MessageEncoding.newObject().put("status", "done");
        List<VersionCondition> conditions =
                List.of(new VersionCondition("a/b", 0), new VersionCondition("k/term", 412));
        List<RecordMutation> mutations =
                List.of(
                        new RecordMutation("a/b", value, 7),
                        new RecordMutation("a/c", value, 0),
                        RecordMutation.deletion("c/d"));
        // when
        this.<StateStoreResult<StoredRecord>>await(
                callback -> stateStoreClient.get("a/b", callback));
        this.<Optional<StateSnapshot>>await(callback -> stateStoreClient.readAll("c/", callback));
        this.<Optional<StateSnapshot>>await(
                callback -> stateStoreClient.readAllUrgently("k/", callback));
        this.<StateStoreResult<Long>>await(
                callback -> stateStoreClient.commit(conditions, mutations, callback));
        this.<StateStoreResult<Long>>await(
                callback -> stateStoreClient.commit(conditions, List.of(), callback));
        this.<StateStoreResult<Long>>await(
                callback -> stateStoreClient.createLease(/* timeToLiveMillis= */ 5000, callback));
        this.<StateStoreResult<Long>>await(
                callback -> stateStoreClient.renewLease(/* leaseId= */ 7, callback));
        this.<Object>await(
                callback ->
                        stateStoreClient.revokeLease(
                                /* leaseId= */ 7, () -> callback.accept(null)));
        this.<StateStoreResult<StoredChanges>>await(
                callback ->
                        stateStoreClient.changesSince("j/", /* afterRevision= */ 431, callback));
        this.<StateStoreResult<StoredChanges>>await(
                callback ->
                        stateStoreClient.awaitChanges(
                                "j/", /* afterRevision= */ 431, /* holdMillis= */ 20, callback));
        // then
        assertRequests("running/state-client-requests.txt", "state");
    }

    @Test
    void rangeIsDecodedFromTheResponseOfTheStateStore() {
        // given
        services.put("c/1", MessageEncoding.newObject().put("x", 1));
        services.put("c/2", MessageEncoding.newObject().put("x", 2));
        // when
        StateSnapshot range =
                this.<Optional<StateSnapshot>>await(
                                callback -> stateStoreClient.readAll("c/", callback))
                        .orElseThrow();
        // then
        assertEquals(
                List.of(
                        new StoredRecord("c/1", MessageEncoding.newObject().put("x", 1), 11),
                        new StoredRecord("c/2", MessageEncoding.newObject().put("x", 2), 12)),
                range.records());
        assertEquals(12, range.revision());
    }

    @Test
    void requestsToTheCloudStayTheSame() {
        CloudClient cloudClient =
                new CloudClient(
                        newHttpClient(services.cloudAddress),
                        loop,
                        1000,
                        this::onMalformedResponse);
        // when
        this.<Optional<?>>await(callback -> cloudClient.listMachineTypes(callback::accept));
        this.<Optional<?>>await(callback -> cloudClient.listInstances(callback::accept));
        this.<Boolean>await(callback -> cloudClient.scaleIn(List.of("vm-1", "vm-2"), callback));
        ScaleOutResult result =
                this.<ScaleOutResult>await(
                        callback ->
                                cloudClient.scaleOut(
                                        new ScaleOutRequest(
                                                "r-41-17",
                                                "g8",
                                                "a",
                                                /* spot= */ true,
                                                /* machineCount= */ 12),
                                        () -> true,
                                        callback));
        // then
        assertEquals(new ScaleOutResult.Refused(), result);
        assertRequests("running/cloud-client-requests.txt", "cloud");
    }

    @Test
    void directCommandsToWorkersStayTheSame() {
        WorkerClient workerClient = new WorkerClient(this::newHttpClient, 4);
        List<WorkerCommand> commands =
                List.of(
                        new WorkerCommand.Start("job-7", /* taskIndex= */ 4, /* attemptId= */ 2),
                        new WorkerCommand.Stop(
                                "job-8",
                                /* taskIndex= */ 1,
                                /* attemptId= */ 1,
                                /* graceSeconds= */ 10),
                        new WorkerCommand.Forget("job-9", /* taskIndex= */ 0, /* attemptId= */ 1));
        // when
        this.<Object>await(
                callback ->
                        workerClient.sendCommands(
                                services.workerAddress,
                                /* fencingToken= */ 41,
                                /* agentEpoch= */ 3,
                                commands,
                                /* nowSeconds= */ 100,
                                (outcome, heartbeat) -> callback.accept(outcome)));
        this.<Object>await(
                callback ->
                        workerClient.sendCommands(
                                services.workerAddress,
                                /* fencingToken= */ 41,
                                /* agentEpoch= */ 3,
                                List.of(),
                                /* nowSeconds= */ 100,
                                (outcome, heartbeat) -> callback.accept(outcome)));
        // then
        assertRequests("running/worker-client-requests.txt", "worker");
    }

    private HttpHostClient newHttpClient(String address) {
        return new HttpHostClient(
                xnioWorker.getIoThread(),
                new DefaultByteBufferPool(false, 8 * 1024, 64, 0),
                address,
                CBOR_CONTENT_TYPE,
                1);
    }

    /** Makes a call with a callback on the I/O thread and waits for its result. */
    private <T> T await(Consumer<Consumer<T>> call) {
        CompletableFuture<T> result = new CompletableFuture<>();
        xnioWorker.getIoThread().execute(() -> call.accept(result::complete));
        return result.join();
    }

    private void assertRequests(String goldenFile, String service) {
        StringBuilder text = new StringBuilder();
        services.received(service)
                .forEach(
                        request ->
                                text.append(request.line())
                                        .append('\n')
                                        .append(request.body())
                                        .append('\n'));
        GoldenFiles.assertSameText(goldenFile, text.toString());
    }

    private void onMalformedResponse(String description) {
        throw new AssertionError("expected well-formed responses, but got: " + description);
    }
}
