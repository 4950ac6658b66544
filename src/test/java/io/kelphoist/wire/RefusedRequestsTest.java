package io.kelphoist.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Requests whose body exceeds the limit. Guards against connections that are reset with unread
 * bytes, so that the client gets no response, and against bodies that are read without a bound.
 */
@Timeout(60)
class RefusedRequestsTest {
    private static final int MAX_BODY_BYTES = 64 << 10;
    private static final int MAX_EXCESS_BYTES = 1 << 20;
    private static final int REFUSALS = 400;
    private static final int RESPONSE_TIMEOUT_MILLIS = 20_000;
    private static final String HEADER_END = "\r\n\r\n";
    private static final RefusedRequests.Limits SMALL_LIMITS =
            new RefusedRequests.Limits(256 << 10, 300, 4);

    private final Random random = new Random(47);
    private final AtomicInteger cutOffs = new AtomicInteger();
    private Undertow server;
    private int port;

    @AfterEach
    void stopServer() {
        server.stop();
    }

    private void startServer(RefusedRequests.Limits limits) {
        RequestBodyReceiver bodies =
                new RequestBodyReceiver(new RefusedRequests(limits, cutOffs::incrementAndGet));
        startServer(
                exchange ->
                        bodies.receive(
                                exchange,
                                MAX_BODY_BYTES,
                                (received, body) ->
                                        HttpExchanges.sendStatus(received, StatusCodes.OK)));
    }

    private void startServer(HttpHandler handler) {
        server =
                RequestBodyReceiver.newServerBuilder()
                        .setIoThreads(1)
                        .addHttpListener(0, "127.0.0.1", handler)
                        .build();
        server.start();
        port = ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    }

    /** A client that stops at its first failed write still gets the response, every time. */
    @Test
    void respondsToEachBodyOverTheLimit() throws Exception {
        startServer(RefusedRequests.Limits.DEFAULT);
        HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        for (int i = 0; i < REFUSALS; i++) {
            byte[] body = new byte[oversizedBodyBytes()];
            HttpRequest request =
                    HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/"))
                            .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                            .build();
            assertEquals(
                    400, client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode());
        }
        assertEquals(0, cutOffs.get());
    }

    /** No write of a client fails, whether the length is stated or not and in whatever pieces. */
    @Test
    void readsTheRestOfABodyOverTheLimit() throws Exception {
        startServer(RefusedRequests.Limits.DEFAULT);
        for (int i = 0; i < REFUSALS; i++) {
            boolean chunked = random.nextBoolean();
            int size = oversizedBodyBytes();
            try (Socket socket = connect()) {
                OutputStream output = socket.getOutputStream();
                output.write(requestHead(chunked ? -1 : size));
                writeInPieces(output, size, chunked);
                endBody(output, chunked);
                assertResponse(400, socket.getInputStream());
            }
        }
        assertEquals(0, cutOffs.get());
    }

    /** Bodies within the limit are read whole, with a stated length and without. */
    @Test
    void acceptsBodiesWithinTheLimit() throws Exception {
        startServer(RefusedRequests.Limits.DEFAULT);
        for (int size : List.of(0, 1, 8 << 10, MAX_BODY_BYTES - 1, MAX_BODY_BYTES)) {
            for (boolean chunked : List.of(true, false)) {
                try (Socket socket = connect()) {
                    OutputStream output = socket.getOutputStream();
                    output.write(requestHead(chunked ? -1 : size));
                    writeInPieces(output, size, chunked);
                    endBody(output, chunked);
                    socket.shutdownOutput();
                    assertResponse(200, socket.getInputStream());
                }
            }
        }
    }

    /** A handler that fails ends the request with status 500, however its body was sent. */
    @Test
    void failedHandlerGetsStatus500() throws Exception {
        RequestBodyReceiver bodies =
                new RequestBodyReceiver(
                        new RefusedRequests(SMALL_LIMITS, cutOffs::incrementAndGet));
        startServer(
                exchange ->
                        bodies.receive(
                                exchange,
                                MAX_BODY_BYTES,
                                (received, body) -> {
                                    throw new IllegalStateException("handler failed");
                                }));
        for (boolean chunked : List.of(true, false)) {
            try (Socket socket = connect()) {
                OutputStream output = socket.getOutputStream();
                output.write(requestHead(chunked ? -1 : 10));
                // By the time of another connection's response the server waits for the body.
                sendRequestWithoutBody(500);
                writeInPieces(output, 10, chunked);
                endBody(output, chunked);
                socket.shutdownOutput();
                assertResponse(500, socket.getInputStream());
            }
        }
    }

    private void sendRequestWithoutBody(int expectedStatus) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(requestHead(0));
            socket.shutdownOutput();
            assertResponse(expectedStatus, socket.getInputStream());
        }
    }

    /** A body without end is refused, and its connection is closed at the bounds. */
    @Test
    void endsBodiesThatNeverEnd() throws Exception {
        startServer(SMALL_LIMITS);
        for (boolean chunked : List.of(true, false)) {
            int before = cutOffs.get();
            try (Socket socket = connect()) {
                OutputStream output = socket.getOutputStream();
                output.write(requestHead(chunked ? -1 : Integer.MAX_VALUE));
                if (chunked) {
                    output.write("7fffffff\r\n".getBytes(StandardCharsets.US_ASCII));
                }
                output.write(new byte[2 * MAX_BODY_BYTES]);
                byte[] response = new byte[12];
                assertEquals(12, socket.getInputStream().readNBytes(response, 0, 12));
                assertEquals("HTTP/1.1 400", new String(response, StandardCharsets.US_ASCII));
                assertTrue(
                        bytesUntilWriteFails(output) < MAX_EXCESS_BYTES * 16,
                        "the server reads a body without a bound");
            }
            assertEquals(before + 1, cutOffs.get());
        }
    }

    /** Many senders that stop in the middle of a body hold few connections, and delay nobody. */
    @Test
    void boundsRefusedRequestsAtOnce() throws Exception {
        startServer(new RefusedRequests.Limits(256 << 10, 60_000, 4));
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            Socket socket = connect();
            sockets.add(socket);
            socket.getOutputStream().write(requestHead(Integer.MAX_VALUE));
            byte[] response = new byte[12];
            assertEquals(12, socket.getInputStream().readNBytes(response, 0, 12));
            assertEquals("HTTP/1.1 400", new String(response, StandardCharsets.US_ASCII));
        }
        assertEquals(50 - 4, cutOffs.get());
        sendRequestWithoutBody(200);
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(RESPONSE_TIMEOUT_MILLIS);
        return socket;
    }

    private int oversizedBodyBytes() {
        return MAX_BODY_BYTES + 1 + random.nextInt(MAX_EXCESS_BYTES);
    }

    /**
     * Returns the head of a request.
     *
     * @param bodyBytes length to state; -1 for a body in chunks
     */
    private static byte[] requestHead(int bodyBytes) {
        String length =
                bodyBytes < 0 ? "Transfer-Encoding: chunked" : "Content-Length: " + bodyBytes;
        return ("POST / HTTP/1.1\r\nHost: localhost\r\n" + length + HEADER_END)
                .getBytes(StandardCharsets.US_ASCII);
    }

    private void writeInPieces(OutputStream output, int size, boolean chunked) throws IOException {
        int written = 0;
        while (written < size) {
            int piece = Math.min(size - written, 1 + random.nextInt(32 << 10));
            if (chunked) {
                writeChunk(output, piece);
            } else {
                output.write(new byte[piece]);
            }
            written += piece;
        }
    }

    private static void endBody(OutputStream output, boolean chunked) throws IOException {
        if (chunked) {
            output.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        }
    }

    private static void writeChunk(OutputStream output, int size) throws IOException {
        output.write((Integer.toHexString(size) + "\r\n").getBytes(StandardCharsets.US_ASCII));
        output.write(new byte[size]);
        output.write("\r\n".getBytes(StandardCharsets.US_ASCII));
    }

    /** Reads until the connection ends. */
    private static void assertResponse(int status, InputStream input) throws IOException {
        String response = new String(input.readAllBytes(), StandardCharsets.US_ASCII);
        assertTrue(response.startsWith("HTTP/1.1 " + status + " "), response);
        assertTrue(response.endsWith(HEADER_END), response);
    }

    private static long bytesUntilWriteFails(OutputStream output) {
        long written = 0;
        byte[] piece = new byte[16 << 10];
        try {
            while (true) {
                output.write(piece);
                written += piece.length;
            }
        } catch (IOException e) {
            return written;
        }
    }
}
