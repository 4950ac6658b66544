package io.kelphoist.cloud;

import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.model.CloudInstance;
import io.kelphoist.model.InstanceListPage;
import io.kelphoist.model.MachineType;
import io.kelphoist.model.ScaleOutRequest;
import io.kelphoist.model.ScaleOutResult;
import io.kelphoist.statestore.TokenBucket;
import io.kelphoist.wire.CloudCodec;
import io.kelphoist.wire.CloudRequests;
import io.kelphoist.wire.HttpHostClient;
import io.kelphoist.wire.HttpRequest;
import io.kelphoist.wire.MalformedMessageException;
import io.undertow.util.StatusCodes;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Client of the cloud that stays within the cloud's request limit; scale-out and scale-in requests
 * have priority over listing instances. Owns the rate limiter. All methods must be called on the
 * event loop, and all callbacks run there.
 */
public final class CloudClient {
    /** Decodes the body of a successful response. */
    private interface BodyDecoder<T> {
        T decode(byte[] body) throws MalformedMessageException;
    }

    private static final int TIMEOUT_MILLIS = 4000;

    /**
     * Share of the request limit that is used. The rest covers the difference between this
     * controller's clock and the cloud's.
     */
    private static final double USED_RATE_SHARE = 0.9;

    /** The rate limiter accumulates the tokens of at most this time. */
    private static final int BURST_SECONDS = 2;

    /**
     * Rate-limit tokens that must be available before a page of the instance list is requested, so
     * that one is left for scaling.
     */
    private static final int MIN_TOKENS_FOR_LISTING = 2;

    /** Added to the computed wait for a rate-limit token, so that it is available at the retry. */
    private static final double RETRY_MARGIN_SECONDS = 0.01;

    private final HttpHostClient httpClient;
    private final EventLoop loop;
    private final TokenBucket rateLimiter;
    private final Consumer<String> onMalformedResponse;

    /**
     * Creates a client.
     *
     * @param requestsPerSecond the cloud's request limit
     * @param onMalformedResponse receives the log fields of each response that cannot be decoded,
     *     which is then handled as if there was no response
     */
    public CloudClient(
            HttpHostClient httpClient,
            EventLoop loop,
            double requestsPerSecond,
            Consumer<String> onMalformedResponse) {
        this.httpClient = httpClient;
        this.loop = loop;
        this.rateLimiter = new TokenBucket(requestsPerSecond * USED_RATE_SHARE, BURST_SECONDS);
        this.onMalformedResponse = onMalformedResponse;
    }

    /**
     * Requests the machine types. The callback receives an empty Optional if the rate limit does
     * not allow a request now, in that case from within this call, or if there is no usable
     * response.
     */
    public void listMachineTypes(Consumer<Optional<List<MachineType>>> callback) {
        if (!rateLimiter.tryAcquire(1, loop.nowSeconds())) {
            callback.accept(Optional.empty());
            return;
        }
        send(
                CloudRequests.machineTypes(),
                result ->
                        callback.accept(
                                decodeBody(
                                        "request=machineTypes",
                                        result,
                                        CloudCodec::decodeMachineTypes)));
    }

    /**
     * Requests new machines as soon as the rate limit allows it.
     *
     * @param isStillLeader evaluated in this call, and again after each wait for the rate limit,
     *     right before the request is sent, because a process that was suspended in the meantime
     *     may no longer be the leader. If false, the request is not sent and its result is unknown
     * @param callback receives the result; from within this call if {@code isStillLeader} is false
     */
    public void scaleOut(
            ScaleOutRequest request,
            BooleanSupplier isStillLeader,
            Consumer<ScaleOutResult> callback) {
        if (!isStillLeader.getAsBoolean()) {
            callback.accept(new ScaleOutResult.Unknown());
            return;
        }
        double waitSeconds = rateLimiter.secondsUntilAvailable(1, loop.nowSeconds());
        if (!rateLimiter.tryAcquire(1, loop.nowSeconds())) {
            loop.schedule(
                    waitSeconds + RETRY_MARGIN_SECONDS,
                    () -> scaleOut(request, isStillLeader, callback));
            return;
        }
        send(
                CloudRequests.scaleOut(request),
                result -> callback.accept(decodeScaleOutResult(request, result)));
    }

    private ScaleOutResult decodeScaleOutResult(
            ScaleOutRequest request, HttpHostClient.CallResult result) {
        Optional<List<String>> names =
                decodeBody(
                        "request=scaleOut name=" + request.name(),
                        result,
                        CloudCodec::decodeInstanceNames);
        if (names.isPresent()) {
            return new ScaleOutResult.Granted(names.get());
        }
        return isRefused(result) ? new ScaleOutResult.Refused() : new ScaleOutResult.Unknown();
    }

    /**
     * Whether the cloud refused a request for machines: the status is 400, or 503 with the error
     * that says that it has no capacity.
     */
    private static boolean isRefused(HttpHostClient.CallResult result) {
        if (!(result instanceof HttpHostClient.Response response)) {
            return false;
        }
        return response.status() == StatusCodes.BAD_REQUEST
                || (response.status() == StatusCodes.SERVICE_UNAVAILABLE
                        && CloudCodec.isOutOfCapacity(response.body()));
    }

    /**
     * Requests the termination of machines. The callback receives whether the cloud confirmed it;
     * false also if the rate limit does not allow a request now, in that case from within this
     * call.
     */
    public void scaleIn(List<String> machineNames, Consumer<Boolean> callback) {
        if (!rateLimiter.tryAcquire(1, loop.nowSeconds())) {
            callback.accept(false);
            return;
        }
        send(CloudRequests.scaleIn(machineNames), result -> callback.accept(isSuccess(result)));
    }

    /**
     * Requests all pages of the instance list, one after the other. The callback receives the pages
     * in order, or an empty Optional if for any of them the rate limit did not allow a request or
     * there was no usable response.
     */
    public void listInstances(Consumer<Optional<List<InstanceListPage>>> callback) {
        listPage("", new ArrayList<>(), callback);
    }

    private void listPage(
            String afterName,
            List<InstanceListPage> pages,
            Consumer<Optional<List<InstanceListPage>>> callback) {
        if (rateLimiter.secondsUntilAvailable(MIN_TOKENS_FOR_LISTING, loop.nowSeconds()) > 0
                || !rateLimiter.tryAcquire(1, loop.nowSeconds())) {
            callback.accept(Optional.empty());
            return;
        }
        send(
                CloudRequests.instanceListPage(afterName),
                result -> onPage(afterName, pages, result, callback));
    }

    private void onPage(
            String afterName,
            List<InstanceListPage> pages,
            HttpHostClient.CallResult result,
            Consumer<Optional<List<InstanceListPage>>> callback) {
        Optional<InstanceListPage> decoded =
                decodeBody(
                        "request=instanceList",
                        result,
                        body -> CloudCodec.decodeInstanceListPage(body, afterName));
        if (decoded.isEmpty()) {
            callback.accept(Optional.empty());
            return;
        }
        InstanceListPage page = decoded.get();
        pages.add(page);
        if (page.lastPage()) {
            callback.accept(Optional.of(pages));
        } else {
            List<CloudInstance> instances = page.instances();
            listPage(instances.get(instances.size() - 1).name(), pages, callback);
        }
    }

    private void send(HttpRequest request, HttpHostClient.ResultHandler handler) {
        httpClient.call(request, TIMEOUT_MILLIS, handler);
    }

    private static boolean isSuccess(HttpHostClient.CallResult result) {
        return result instanceof HttpHostClient.Response response
                && response.status() == StatusCodes.OK;
    }

    /**
     * Decodes the body of a successful response; empty if the response is not successful or cannot
     * be decoded.
     *
     * @param requestLogFields log fields that identify the request if its response is malformed
     */
    private <T> Optional<T> decodeBody(
            String requestLogFields, HttpHostClient.CallResult result, BodyDecoder<T> decoder) {
        if (result instanceof HttpHostClient.Response response && isSuccess(result)) {
            try {
                return Optional.of(decoder.decode(response.body()));
            } catch (MalformedMessageException e) {
                onMalformedResponse.accept(
                        "system=cloud " + requestLogFields + " error=" + e.getMessage());
            }
        }
        return Optional.empty();
    }
}
