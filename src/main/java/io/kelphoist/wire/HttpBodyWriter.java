package io.kelphoist.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes the body of a request without blocking: as much as the connection accepts, and the rest
 * when it is writable again. Runs on the I/O thread.
 */
final class HttpBodyWriter implements ChannelListener<StreamSinkChannel> {
    private final HttpCall call;
    private final ByteBuffer remaining;

    HttpBodyWriter(HttpCall call, byte[] body) {
        this.call = call;
        this.remaining = ByteBuffer.wrap(body);
    }

    void start(StreamSinkChannel channel) {
        channel.getWriteSetter().set(this);
        handleEvent(channel);
    }

    @Override
    public void handleEvent(StreamSinkChannel channel) {
        try {
            while (remaining.hasRemaining()) {
                if (channel.write(remaining) == 0) {
                    channel.resumeWrites();
                    return;
                }
            }
            channel.shutdownWrites();
            if (channel.flush()) {
                channel.suspendWrites();
            } else {
                channel.resumeWrites();
            }
        } catch (IOException e) {
            call.failAfterSend();
        }
    }
}
