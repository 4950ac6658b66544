package io.kelphoist.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.model.ScaleOutRequest;
import java.util.List;

/** Encodes the HTTP requests to the cloud. The paths of its protocol occur only here. */
public final class CloudRequests {
    private static final String INSTANCES_PATH = "/rentals";

    /** Maximum number of instances per page of the instance list. */
    private static final int PAGE_SIZE = 500;

    private CloudRequests() {}

    /** Requests the machine types. */
    public static HttpRequest machineTypes() {
        return HttpRequest.get("/flavors");
    }

    /** Requests new instances (scale out). */
    public static HttpRequest scaleOut(ScaleOutRequest request) {
        return post(INSTANCES_PATH, CloudCodec.encodeScaleOutRequest(request));
    }

    /** Requests the termination of instances (scale in). */
    public static HttpRequest scaleIn(List<String> instanceNames) {
        return post(INSTANCES_PATH + "/return", CloudCodec.encodeInstanceNames(instanceNames));
    }

    /**
     * Requests one page of the instance list.
     *
     * @param afterName last name of the previous page; empty for the first page
     */
    public static HttpRequest instanceListPage(String afterName) {
        String firstPage = INSTANCES_PATH + "?limit=" + PAGE_SIZE;
        return HttpRequest.get(afterName.isEmpty() ? firstPage : firstPage + "&after=" + afterName);
    }

    private static HttpRequest post(String path, ObjectNode message) {
        return HttpRequest.post(path, MessageEncoding.encodeCbor(message));
    }
}
