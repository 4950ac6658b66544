package io.kelphoist.wire;

import io.undertow.client.ClientExchange;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.Headers;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads the body of a response and finishes the call with the response, or without one if reading
 * fails or the body exceeds {@link #MAX_BODY_BYTES}. Runs on the I/O thread.
 */
final class HttpResponseReader implements ChannelListener<StreamSourceChannel> {
    /** Maximum size of the body of a response: 16 MiB. */
    private static final int MAX_BODY_BYTES = 16 << 20;

    private final HttpCall call;
    private final ByteBufferPool buffers;
    private final StreamSourceChannel responseChannel;
    private final int status;
    private final boolean keepAlive;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    HttpResponseReader(HttpCall call, ByteBufferPool buffers, ClientExchange exchange) {
        this.call = call;
        this.buffers = buffers;
        this.responseChannel = exchange.getResponseChannel();
        this.status = exchange.getResponse().getResponseCode();
        // Any Connection header is taken as the host's intention to close the connection.
        this.keepAlive =
                exchange.getResponse().getResponseHeaders().getFirst(Headers.CONNECTION) == null;
    }

    void start() {
        responseChannel.getReadSetter().set(this);
        handleEvent(responseChannel);
    }

    @Override
    public void handleEvent(StreamSourceChannel channel) {
        try (PooledByteBuffer pooled = buffers.allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            while (!call.isFinished()) {
                buffer.clear();
                int byteCount = channel.read(buffer);
                if (byteCount == 0) {
                    channel.resumeReads();
                    return;
                }
                if (byteCount < 0) {
                    call.finish(new HttpHostClient.Response(status, body.toByteArray()), keepAlive);
                    return;
                }
                append(buffer.flip());
            }
        } catch (IOException e) {
            call.failAfterSend();
        }
    }

    private void append(ByteBuffer buffer) throws IOException {
        byte[] chunk = new byte[buffer.remaining()];
        buffer.get(chunk);
        body.write(chunk, 0, chunk.length);
        if (body.size() > MAX_BODY_BYTES) {
            throw new IOException("response body exceeds " + MAX_BODY_BYTES + " bytes");
        }
    }
}
