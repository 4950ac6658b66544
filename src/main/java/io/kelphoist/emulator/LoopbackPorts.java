package io.kelphoist.emulator;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Finds free ports on the loopback interface for servers that bind them later. The ports are below
 * Linux's default range of ephemeral ports. A port chosen by the system would be in that range, and
 * an outgoing connection could get it as its local port before the server binds it.
 */
public final class LoopbackPorts {
    private static final int FIRST_PORT = 20_000;
    private static final int PORT_COUNT = 12_000;

    /**
     * The offset of the next port to try. The first one is random, so that processes that run at
     * the same time rarely try the same port.
     */
    private static final AtomicInteger NEXT_OFFSET =
            new AtomicInteger(ThreadLocalRandom.current().nextInt(PORT_COUNT));

    private LoopbackPorts() {}

    /**
     * Returns a port that no socket is bound to at the time of the call; it is not reserved. Within
     * a process, a port is returned again only after all other ports were tried.
     *
     * @throws IOException if all ports are in use
     */
    public static int nextFreePort() throws IOException {
        for (int attempt = 0; attempt < PORT_COUNT; attempt++) {
            int port = FIRST_PORT + Math.floorMod(NEXT_OFFSET.getAndIncrement(), PORT_COUNT);
            if (isFree(port)) {
                return port;
            }
        }
        throw new IOException(
                "all ports of the loopback interface from %d to %d are in use"
                        .formatted(FIRST_PORT, FIRST_PORT + PORT_COUNT - 1));
    }

    /**
     * Returns a loopback address with a free port, as host:port.
     *
     * @throws IOException if all ports are in use
     */
    public static String nextFreeAddress() throws IOException {
        return "127.0.0.1:" + nextFreePort();
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
