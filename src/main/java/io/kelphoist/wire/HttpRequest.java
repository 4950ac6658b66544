package io.kelphoist.wire;

/** An encoded request that {@link HttpHostClient} sends. */
public final class HttpRequest {
    private final String method;
    private final String path;
    private final byte[] body;

    private HttpRequest(String method, String path, byte[] body) {
        this.method = method;
        this.path = path;
        this.body = body;
    }

    /**
     * Returns a GET request.
     *
     * @param path path and query
     */
    public static HttpRequest get(String path) {
        return new HttpRequest("GET", path, null);
    }

    /**
     * Returns a POST request.
     *
     * @param path path and query
     * @param body the encoded body, which is not copied, so that the caller must not change it
     */
    public static HttpRequest post(String path, byte[] body) {
        return new HttpRequest("POST", path, body);
    }

    /** Returns a DELETE request. */
    public static HttpRequest delete(String path) {
        return new HttpRequest("DELETE", path, null);
    }

    /** Returns the HTTP method. */
    String method() {
        return method;
    }

    /** Returns the path and query. */
    String path() {
        return path;
    }

    /** Returns the body; null if the request has none. */
    byte[] body() {
        return body;
    }
}
