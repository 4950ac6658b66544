package io.kelphoist.worker;

import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.WorkerCommand;
import io.kelphoist.scheduler.reachability.DeliveryOutcome;
import io.kelphoist.wire.HttpHostClient;
import io.kelphoist.wire.HttpRequest;
import io.kelphoist.wire.MalformedMessageException;
import io.kelphoist.wire.WorkerCodec;
import io.undertow.util.StatusCodes;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Sends commands and status requests to workers, over one connection per worker. The number of
 * connections is bounded: to open one beyond the bound, the least recently used idle connection is
 * closed. If all connections are in use, commands are not sent; the worker gets them with the
 * response to its next heartbeat.
 *
 * <p>Owns the connections. Confined to the controller's event loop, except {@link
 * #openConnectionCount}.
 */
public final class WorkerClient {
    /** Receives the outcome of a request to a worker, on the event loop. */
    public interface CommandCallback {
        /**
         * Called once when the request has ended, from within {@link #sendCommands} if no
         * connection is available.
         *
         * @param heartbeat the status of the machine and its tasks in the worker's response; null
         *     unless the outcome is {@link DeliveryOutcome#EXECUTED} or {@link
         *     DeliveryOutcome#REFUSED}
         */
        void onComplete(DeliveryOutcome outcome, Heartbeat heartbeat);
    }

    private static final String COMMANDS_PATH = "/orders";
    private static final int COMMAND_TIMEOUT_MILLIS = 2500;

    /**
     * Timeout of a request without commands. It is shorter because a response that arrives late is
     * not needed.
     */
    private static final int STATUS_REQUEST_TIMEOUT_MILLIS = 600;

    private static final double IDLE_TIMEOUT_SECONDS = 40;
    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final Function<String, HttpHostClient> connectionFactory;
    private final int maxConnections;

    /** Connections by the address of the worker, the least recently used first. */
    private final Map<String, Connection> connectionsByAddress =
            new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);

    /** The connection to one worker, and when a request was last sent on it. */
    private static final class Connection {
        final HttpHostClient httpClient;
        double lastUsedAtSeconds;

        Connection(HttpHostClient httpClient) {
            this.httpClient = httpClient;
        }
    }

    /**
     * Creates a client without connections.
     *
     * @param connectionFactory creates the HTTP client for an address
     * @param maxConnections maximum number of open connections, in use or idle
     */
    public WorkerClient(Function<String, HttpHostClient> connectionFactory, int maxConnections) {
        this.connectionFactory = connectionFactory;
        this.maxConnections = maxConnections;
    }

    /** Returns the number of open connections. For metrics; callable on any thread. */
    public int openConnectionCount() {
        return connectionsByAddress.size();
    }

    /**
     * Sends commands to a worker.
     *
     * @param address host and port of the worker
     * @param fencingToken the leader's term; the worker refuses a token that is lower than the
     *     highest one that it has seen
     * @param agentEpoch the agent epoch of the worker to which the commands apply
     * @param commands empty for a status request or a reachability probe
     * @param nowSeconds current time of the event loop's clock
     * @param callback receives {@link DeliveryOutcome#NOT_ATTEMPTED}, from within this call, if all
     *     connections are in use
     */
    public void sendCommands(
            String address,
            long fencingToken,
            long agentEpoch,
            List<WorkerCommand> commands,
            double nowSeconds,
            CommandCallback callback) {
        Connection connection = connectionTo(address);
        if (connection == null) {
            callback.onComplete(DeliveryOutcome.NOT_ATTEMPTED, null);
            return;
        }
        connection.lastUsedAtSeconds = nowSeconds;
        connection.httpClient.call(
                HttpRequest.post(
                        COMMANDS_PATH,
                        WorkerCodec.encodeCommandRequest(fencingToken, agentEpoch, commands)),
                commands.isEmpty() ? STATUS_REQUEST_TIMEOUT_MILLIS : COMMAND_TIMEOUT_MILLIS,
                result -> onResult(result, callback));
    }

    /**
     * Returns the connection to an address, and opens it if there is none; null if the maximum
     * number of connections is open and all are in use.
     */
    private Connection connectionTo(String address) {
        Connection connection = connectionsByAddress.get(address);
        if (connection != null) {
            return connection;
        }
        if (connectionsByAddress.size() >= maxConnections && !closeLeastRecentlyUsed()) {
            return null;
        }
        Connection opened = new Connection(connectionFactory.apply(address));
        connectionsByAddress.put(address, opened);
        return opened;
    }

    private static void onResult(HttpHostClient.CallResult result, CommandCallback callback) {
        if (result instanceof HttpHostClient.NotSent) {
            callback.onComplete(DeliveryOutcome.NOT_SENT, null);
        } else if (result instanceof HttpHostClient.Response response
                && (response.status() == StatusCodes.OK
                        || response.status() == StatusCodes.CONFLICT)) {
            onResponse(response, callback);
        } else {
            callback.onComplete(DeliveryOutcome.NO_RESPONSE, null);
        }
    }

    private static void onResponse(HttpHostClient.Response response, CommandCallback callback) {
        Heartbeat heartbeat;
        try {
            heartbeat = WorkerCodec.decodeHeartbeat(response.body());
        } catch (MalformedMessageException e) {
            // As without a response, it is unknown whether the commands were executed.
            callback.onComplete(DeliveryOutcome.NO_RESPONSE, null);
            return;
        }
        callback.onComplete(
                response.status() == StatusCodes.OK
                        ? DeliveryOutcome.EXECUTED
                        : DeliveryOutcome.REFUSED,
                heartbeat);
    }

    /**
     * Closes the least recently used idle connection. Returns false if all connections are in use.
     */
    private boolean closeLeastRecentlyUsed() {
        for (Iterator<Connection> iterator = connectionsByAddress.values().iterator();
                iterator.hasNext(); ) {
            if (closeIfUnused(iterator.next(), iterator)) {
                return true;
            }
        }
        return false;
    }

    /** Closes a connection unless it is in use, and removes it through the iterator. */
    private static boolean closeIfUnused(Connection connection, Iterator<Connection> iterator) {
        if (!connection.httpClient.isIdle()) {
            return false;
        }
        connection.httpClient.close();
        iterator.remove();
        return true;
    }

    /**
     * Closes idle connections on which nothing was sent for longer than {@link
     * #IDLE_TIMEOUT_SECONDS}.
     */
    public void closeIdle(double nowSeconds) {
        for (Iterator<Connection> iterator = connectionsByAddress.values().iterator();
                iterator.hasNext(); ) {
            Connection connection = iterator.next();
            if (nowSeconds - connection.lastUsedAtSeconds <= IDLE_TIMEOUT_SECONDS) {
                return;
            }
            closeIfUnused(connection, iterator);
        }
    }
}
