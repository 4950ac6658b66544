import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 with CBOR bodies over loopback: a small blocking server and a client with one connection. */
final class Http {
    static final ObjectMapper CBOR = new ObjectMapper(new CBORFactory());
    static final ObjectMapper JSON = new ObjectMapper();
    private static final byte[] NONE = {};

    private Http() {}

    record Request(String method, String path, Map<String, String> query, byte[] body) {
        ObjectNode json() throws IOException {
            return body.length == 0 ? JSON.createObjectNode() : (ObjectNode) CBOR.readTree(body);
        }
    }

    /** A response; a null one means that the connection is closed without an answer. */
    record Reply(int status, byte[] body, Map<String, String> headers) {
        static Reply of(int status) {
            return new Reply(status, NONE, Map.of());
        }

        static Reply of(int status, JsonNode body) throws IOException {
            return new Reply(status, CBOR.writeValueAsBytes(body), Map.of());
        }

        JsonNode json() {
            try {
                JsonNode node = body.length == 0 ? null : CBOR.readTree(body);
                return node == null ? JSON.createObjectNode() : node;
            } catch (IOException e) {
                return JSON.createObjectNode();
            }
        }
    }

    interface Handler {
        Reply handle(Request request) throws Exception;
    }

    static ObjectNode object() {
        return JSON.createObjectNode();
    }

    /** A server on a free loopback port; one thread for each connection. */
    static final class Server implements AutoCloseable {
        private final ServerSocket socket;
        private final Handler handler;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();

        Server(Handler handler) throws IOException {
            this.handler = handler;
            socket = new ServerSocket();
            socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
            daemon(this::accept);
        }

        String address() {
            return "127.0.0.1:" + socket.getLocalPort();
        }

        private void accept() {
            while (!socket.isClosed()) {
                try {
                    Socket connection = socket.accept();
                    connection.setTcpNoDelay(true);
                    open.add(connection);
                    daemon(() -> serve(connection));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket connection) {
            try (connection) {
                InputStream in = new BufferedInputStream(connection.getInputStream());
                OutputStream out = connection.getOutputStream();
                while (true) {
                    String first = line(in);
                    if (first == null) {
                        return;
                    }
                    String[] parts = first.split(" ");
                    Map<String, String> headers = headers(in);
                    byte[] body = body(in, headers, false);
                    String target = parts[1];
                    int mark = target.indexOf('?');
                    Map<String, String> query = new HashMap<>();
                    if (mark >= 0) {
                        for (String pair : target.substring(mark + 1).split("&")) {
                            int equals = pair.indexOf('=');
                            query.put(
                                    pair.substring(0, equals),
                                    URLDecoder.decode(
                                            pair.substring(equals + 1), StandardCharsets.UTF_8));
                        }
                        target = target.substring(0, mark);
                    }
                    Reply reply = handler.handle(new Request(parts[0], target, query, body));
                    if (reply == null) {
                        return;
                    }
                    out.write(
                            ("HTTP/1.1 "
                                            + reply.status
                                            + " X\r\nContent-Type: application/cbor\r\nContent-Length: "
                                            + reply.body.length
                                            + "\r\n\r\n")
                                    .getBytes(StandardCharsets.ISO_8859_1));
                    out.write(reply.body);
                    out.flush();
                }
            } catch (Exception e) {
                // The peer has closed the connection, or this server is closed.
            } finally {
                open.remove(connection);
            }
        }

        @Override
        public void close() {
            try {
                socket.close();
                for (Socket connection : open) {
                    connection.close();
                }
            } catch (IOException e) {
                // Closed already.
            }
        }
    }

    /** Calls one host over one persistent connection. */
    static final class Client implements AutoCloseable {
        private final String host;
        private final int port;
        private Socket socket;
        private InputStream in;

        Client(String address) {
            int colon = address.lastIndexOf(':');
            host = address.substring(0, colon);
            port = Integer.parseInt(address.substring(colon + 1));
        }

        Reply call(String method, String path, JsonNode body, int connectMillis, int timeoutMillis)
                throws IOException {
            return callBytes(
                    method,
                    path,
                    body == null ? NONE : CBOR.writeValueAsBytes(body),
                    connectMillis,
                    timeoutMillis);
        }

        Reply callBytes(
                String method, String path, byte[] bytes, int connectMillis, int timeoutMillis)
                throws IOException {
            boolean done = false;
            try {
                long deadline = System.nanoTime() + timeoutMillis * 1_000_000L;
                if (socket == null || socket.isClosed()) {
                    socket = new Socket();
                    socket.setTcpNoDelay(true);
                    socket.connect(new InetSocketAddress(host, port), connectMillis);
                    in = new BufferedInputStream(new Timed(socket, deadline));
                } else {
                    in = new BufferedInputStream(new Timed(socket, deadline));
                }
                OutputStream out = socket.getOutputStream();
                String head =
                        method
                                + " "
                                + path
                                + " HTTP/1.1\r\nHost: "
                                + host
                                + ":"
                                + port
                                + "\r\nContent-Type: application/cbor\r\nContent-Length: "
                                + bytes.length
                                + "\r\n\r\n";
                ByteArrayOutputStream message = new ByteArrayOutputStream();
                message.write(head.getBytes(StandardCharsets.ISO_8859_1));
                message.write(bytes);
                out.write(message.toByteArray());
                out.flush();
                String first = line(in);
                if (first == null) {
                    throw new EOFException("closed");
                }
                int status = Integer.parseInt(first.split(" ")[1]);
                Map<String, String> headers = headers(in);
                byte[] answer = body(in, headers, true);
                done = !"close".equalsIgnoreCase(headers.get("connection"));
                return new Reply(status, answer, headers);
            } finally {
                if (!done) {
                    close();
                }
            }
        }

        @Override
        public void close() {
            try {
                if (socket != null) {
                    socket.close();
                }
            } catch (IOException e) {
                // Closed already.
            }
            socket = null;
        }
    }

    /** Reads from a socket until a deadline. */
    private static final class Timed extends InputStream {
        private final Socket socket;
        private final InputStream in;
        private final long deadline;

        Timed(Socket socket, long deadline) throws IOException {
            this.socket = socket;
            this.in = socket.getInputStream();
            this.deadline = deadline;
        }

        private void arm() throws IOException {
            long left = (deadline - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                throw new java.net.SocketTimeoutException("deadline");
            }
            socket.setSoTimeout((int) left);
        }

        @Override
        public int read() throws IOException {
            arm();
            return in.read();
        }

        @Override
        public int read(byte[] buffer, int offset, int length) throws IOException {
            arm();
            return in.read(buffer, offset, length);
        }
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(null, task, "standin", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int c = in.read(); ; c = in.read()) {
            if (c < 0) {
                return null;
            }
            if (c == '\n') {
                return text.toString();
            }
            if (c != '\r') {
                text.append((char) c);
            }
        }
    }

    private static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new HashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return headers;
    }

    private static byte[] body(InputStream in, Map<String, String> headers, boolean response)
            throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(line(in).split(";")[0].trim(), 16);
                all.write(in.readNBytes(size));
                line(in);
                if (size == 0) {
                    return all.toByteArray();
                }
            }
        }
        String length = headers.get("content-length");
        if (length == null) {
            return NONE;
        }
        byte[] bytes = in.readNBytes(Integer.parseInt(length));
        if (bytes.length < Integer.parseInt(length)) {
            throw new EOFException("body cut off");
        }
        return bytes;
    }
}
