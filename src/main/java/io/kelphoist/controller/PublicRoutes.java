package io.kelphoist.controller;

import io.kelphoist.api.HttpJobApi;
import io.kelphoist.wire.HttpExchanges;
import io.kelphoist.wire.RefusedRequests;
import io.kelphoist.wire.RequestBodyReceiver;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;

/** The HTTP routes for workers, users and operators. Runs on the event loop. */
final class PublicRoutes implements HttpHandler {
    private static final String HEARTBEAT_PATH = "/v1/report";
    private static final String JOBS_PATH = "/work";
    private static final String JOB_PREFIX = "/work/";
    private static final String CANCEL_SUFFIX = "/cancel";
    private static final String HEALTH_PATH = "/healthz";
    private static final String METRICS_PATH = "/metrics";
    private static final String METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";
    private static final String GET = "GET";
    private static final String POST = "POST";

    private final Controller controller;
    private final ControllerComponents components;
    private final HttpJobApi jobApi;
    private final RequestBodyReceiver requestBodies;

    /** Null until the first scrape: a controller that is not scraped needs no metrics registry. */
    private ControllerMetrics metrics;

    PublicRoutes(Controller controller) {
        this.controller = controller;
        this.components = controller.components();
        this.jobApi = new HttpJobApi(components.admission());
        this.requestBodies =
                new RequestBodyReceiver(
                        new RefusedRequests(
                                RefusedRequests.Limits.DEFAULT,
                                components.counters()::onRefusedRequestCutOff));
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        String method = exchange.getRequestMethod().toString();
        if (path.equals(HEARTBEAT_PATH) && method.equals(POST)) {
            receiveBody(exchange, components.heartbeatEndpoint()::handleDirect);
        } else if (path.equals(JOBS_PATH) && method.equals(POST)) {
            receiveBody(exchange, jobApi::submit);
        } else if (path.startsWith(JOB_PREFIX)) {
            handleJobRequest(exchange, path.substring(JOB_PREFIX.length()), method);
        } else if (path.equals(HEALTH_PATH) && method.equals(GET)) {
            receiveBody(exchange, (received, body) -> sendHealth(received));
        } else if (path.equals(METRICS_PATH) && method.equals(GET)) {
            receiveBody(exchange, (received, body) -> sendMetrics(received));
        } else {
            sendAfterBody(exchange, StatusCodes.NOT_FOUND);
        }
    }

    private void handleJobRequest(HttpServerExchange exchange, String pathRest, String method) {
        if (method.equals(GET)) {
            receiveBody(exchange, (received, body) -> jobApi.query(received, pathRest));
        } else if (method.equals(POST) && pathRest.endsWith(CANCEL_SUFFIX)) {
            String jobId = pathRest.substring(0, pathRest.length() - CANCEL_SUFFIX.length());
            receiveBody(exchange, (received, body) -> jobApi.cancel(received, jobId));
        } else {
            sendAfterBody(exchange, StatusCodes.METHOD_NOT_ALLOWED);
        }
    }

    private void receiveBody(HttpServerExchange exchange, RequestBodyReceiver.BodyHandler handler) {
        requestBodies.receive(exchange, HttpExchanges.MAX_REQUEST_BYTES, handler);
    }

    /** Responds with a status that does not depend on the request's body. */
    private void sendAfterBody(HttpServerExchange exchange, int status) {
        requestBodies.receive(
                exchange,
                HttpExchanges.MAX_REQUEST_BYTES,
                status,
                (received, body) -> HttpExchanges.sendStatus(received, status));
    }

    private void sendHealth(HttpServerExchange exchange) {
        int status = controller.isHealthy() ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE;
        HttpExchanges.sendStatus(exchange, status);
    }

    private void sendMetrics(HttpServerExchange exchange) {
        if (metrics == null) {
            metrics = new ControllerMetrics(components);
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, METRICS_CONTENT_TYPE);
        exchange.getResponseSender().send(metrics.scrape());
    }
}
