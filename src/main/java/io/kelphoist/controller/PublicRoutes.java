package io.kelphoist.controller;

import io.kelphoist.api.HttpJobApi;
import io.kelphoist.wire.HttpExchanges;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;

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

    /** Null until the first scrape: a controller that is not scraped needs no metrics registry. */
    private ControllerMetrics metrics;

    PublicRoutes(Controller controller) {
        this.controller = controller;
        this.components = controller.components();
        this.jobApi = new HttpJobApi(components.admission());
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
            HttpExchanges.sendStatus(exchange, controller.isHealthy() ? 200 : 503);
        } else if (path.equals(METRICS_PATH) && method.equals(GET)) {
            sendMetrics(exchange);
        } else {
            HttpExchanges.sendStatus(exchange, 404);
        }
    }

    private void handleJobRequest(HttpServerExchange exchange, String pathRest, String method) {
        if (method.equals(GET)) {
            HttpExchanges.dispatch(exchange, () -> jobApi.query(exchange, pathRest));
        } else if (method.equals(POST) && pathRest.endsWith(CANCEL_SUFFIX)) {
            String jobId = pathRest.substring(0, pathRest.length() - CANCEL_SUFFIX.length());
            receiveBody(exchange, (received, body) -> jobApi.cancel(received, jobId));
        } else {
            HttpExchanges.sendStatus(exchange, 405);
        }
    }

    private static void receiveBody(
            HttpServerExchange exchange, HttpExchanges.BodyHandler handler) {
        HttpExchanges.receiveBody(exchange, HttpExchanges.MAX_REQUEST_BYTES, handler);
    }

    private void sendMetrics(HttpServerExchange exchange) {
        if (metrics == null) {
            metrics = new ControllerMetrics(components);
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, METRICS_CONTENT_TYPE);
        exchange.getResponseSender().send(metrics.scrape());
    }
}
