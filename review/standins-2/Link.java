import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A proxy on the way from one controller to another; it can hold all bytes, or refuse connections. */
final class Link implements AutoCloseable {
    enum Mode {
        PASS,
        HOLD,
        REFUSE
    }

    private final ServerSocket server;
    private final int targetPort;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile Mode mode = Mode.PASS;

    Link(int targetPort) throws IOException {
        this.targetPort = targetPort;
        server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
        Http.daemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    void setMode(Mode next) {
        mode = next;
        if (next == Mode.REFUSE) {
            open.forEach(Link::close);
        }
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket client = server.accept();
                Http.daemon(() -> serve(client));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket client) {
        if (mode != Mode.PASS) {
            while (mode == Mode.HOLD) {
                World.sleep(20);
            }
            close(client);
            return;
        }
        Socket target = new Socket();
        try {
            target.connect(new InetSocketAddress("127.0.0.1", targetPort), 1000);
            target.setTcpNoDelay(true);
            client.setTcpNoDelay(true);
        } catch (IOException e) {
            close(client);
            return;
        }
        open.add(client);
        open.add(target);
        Http.daemon(() -> pump(client, target));
        pump(target, client);
    }

    private void pump(Socket from, Socket to) {
        byte[] buffer = new byte[16 * 1024];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                while (mode == Mode.HOLD) {
                    World.sleep(10);
                }
                out.write(buffer, 0, count);
            }
        } catch (IOException e) {
            // One side has closed.
        }
        while (mode == Mode.HOLD) {
            World.sleep(10);
        }
        close(from);
        close(to);
        open.remove(from);
        open.remove(to);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Closed already.
        }
    }

    @Override
    public void close() {
        mode = Mode.REFUSE;
        try {
            server.close();
        } catch (IOException e) {
            // Closed already.
        }
        open.forEach(Link::close);
    }
}
