package io.kelphoist.wire;

import io.kelphoist.wire.HttpHostClient.CallResult;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;

/**
 * One call of an {@link HttpHostClient}, from the queue through connecting and sending to the
 * result. Owns the connection while the call is in flight. Runs on the client's I/O thread.
 */
final class HttpCall {
    private enum State {
        /** Waits in the client's queue; no connection was requested. */
        QUEUED,
        /** Waits for a connection; the request was not sent. */
        CONNECTING,
        /** The request was passed to the connection and may be executed. */
        SENT,
        /** The call has its result, which is passed to the handler. */
        FINISHED
    }

    private final HttpHostClient client;
    private final HttpRequest request;
    private final HttpHostClient.ResultHandler handler;
    private State state = State.QUEUED;
    private XnioExecutor.Key timer;
    private ClientConnection connection;
    private IoFuture<ClientConnection> pendingConnection;

    HttpCall(HttpHostClient client, HttpRequest request, HttpHostClient.ResultHandler handler) {
        this.client = client;
        this.request = request;
        this.handler = handler;
    }

    void startTimer(int timeoutMillis) {
        timer = client.ioThread.executeAfter(this::onTimeout, timeoutMillis, TimeUnit.MILLISECONDS);
    }

    /** Sends the request over an idle connection, or a new one. */
    void start() {
        state = State.CONNECTING;
        ClientConnection idleConnection = client.pollIdleConnection();
        if (idleConnection != null) {
            send(idleConnection);
            return;
        }
        pendingConnection =
                UndertowClient.getInstance()
                        .connect(client.uri, client.ioThread, client.buffers, OptionMap.EMPTY);
        pendingConnection.addNotifier(
                (future, ignored) -> client.ioThread.execute(() -> onConnected(future)), null);
    }

    boolean isFinished() {
        return state == State.FINISHED;
    }

    /** Ends the call after a failure; the request may have been executed. */
    void failAfterSend() {
        finish(HttpHostClient.NO_RESPONSE, /* reusable= */ false);
    }

    /**
     * Ends the call with its result. Does nothing if the call has ended already.
     *
     * @param reusable whether another request can be sent over the connection, if the call has one
     */
    void finish(CallResult result, boolean reusable) {
        if (isFinished()) {
            return;
        }
        state = State.FINISHED;
        timer.remove();
        if (connection != null) {
            if (reusable && connection.isOpen()) {
                client.returnConnection(connection);
            } else {
                IoUtils.safeClose(connection);
            }
        }
        client.onCallFinished();
        handler.onResult(result);
    }

    private void onConnected(IoFuture<? extends ClientConnection> future) {
        if (future.getStatus() != IoFuture.Status.DONE) {
            finish(HttpHostClient.NOT_SENT, /* reusable= */ false);
            return;
        }
        try {
            ClientConnection newConnection = future.get();
            if (isFinished()) {
                IoUtils.safeClose(newConnection);
            } else {
                send(newConnection);
            }
        } catch (IOException e) {
            finish(HttpHostClient.NOT_SENT, /* reusable= */ false);
        }
    }

    private void send(ClientConnection openConnection) {
        connection = openConnection;
        state = State.SENT;
        ClientRequest clientRequest =
                new ClientRequest()
                        .setMethod(new HttpString(request.method()))
                        .setPath(request.path());
        clientRequest.getRequestHeaders().put(Headers.HOST, client.host);
        if (request.body() != null) {
            clientRequest.getRequestHeaders().put(Headers.CONTENT_TYPE, client.contentType);
            clientRequest.getRequestHeaders().put(Headers.CONTENT_LENGTH, request.body().length);
        }
        openConnection.sendRequest(clientRequest, onCompleted(this::onRequestStarted));
    }

    private void onRequestStarted(ClientExchange exchange) {
        exchange.setResponseListener(onCompleted(this::onResponseStarted));
        if (request.body() != null) {
            new HttpBodyWriter(this, request.body()).start(exchange.getRequestChannel());
        }
    }

    private void onResponseStarted(ClientExchange exchange) {
        new HttpResponseReader(this, client.buffers, exchange).start();
    }

    private ClientCallback<ClientExchange> onCompleted(Consumer<ClientExchange> action) {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                action.accept(exchange);
            }

            @Override
            public void failed(IOException e) {
                failAfterSend();
            }
        };
    }

    private void onTimeout() {
        if (state == State.QUEUED) {
            client.removeQueued(this);
            state = State.FINISHED;
            handler.onResult(HttpHostClient.NOT_SENT);
            return;
        }
        if (state == State.CONNECTING && pendingConnection != null) {
            pendingConnection.cancel();
        }
        finish(
                state == State.SENT ? HttpHostClient.NO_RESPONSE : HttpHostClient.NOT_SENT,
                /* reusable= */ false);
    }
}
