import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;

/** HTTP with CBOR bodies, for the stand-ins. */
final class Http {
    static final ObjectMapper CBOR = new CBORMapper();

    private Http() {}

    static ObjectNode map() {
        return CBOR.createObjectNode();
    }

    record Answer(int status, JsonNode body) {
        static Answer of(int status) {
            return new Answer(status, null);
        }

        static Answer of(int status, JsonNode body) {
            return new Answer(status, body);
        }
    }

    record Request(String method, String path, String rawQuery, JsonNode body) {
        String query(String name, String otherwise) {
            if (rawQuery != null) {
                for (String part : rawQuery.split("&")) {
                    int eq = part.indexOf('=');
                    if (eq > 0 && part.substring(0, eq).equals(name)) {
                        return URLDecoder.decode(part.substring(eq + 1), StandardCharsets.UTF_8);
                    }
                }
            }
            return otherwise;
        }
    }

    interface Handler {
        /** Null: the connection is dropped without an answer. */
        Answer answer(Request request) throws Exception;
    }

    static final class Server {
        private final HttpServer server;

        Server(HttpServer server) {
            this.server = server;
        }

        String address() {
            return "127.0.0.1:" + server.getAddress().getPort();
        }

        void stop() {
            server.stop(0);
        }
    }

    static Server serve(Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 500);
        server.setExecutor(
                Executors.newCachedThreadPool(
                        r -> {
                            Thread t = new Thread(null, r, "server", 256 * 1024);
                            t.setDaemon(true);
                            return t;
                        }));
        server.createContext("/", exchange -> handle(exchange, handler));
        server.start();
        return new Server(server);
    }

    private static void handle(HttpExchange exchange, Handler handler) throws IOException {
        try (exchange) {
            byte[] bytes = exchange.getRequestBody().readAllBytes();
            JsonNode body = bytes.length == 0 ? map() : CBOR.readTree(bytes);
            Answer answer =
                    handler.answer(
                            new Request(
                                    exchange.getRequestMethod(),
                                    exchange.getRequestURI().getPath(),
                                    exchange.getRequestURI().getRawQuery(),
                                    body));
            if (answer == null) {
                return;
            }
            byte[] out = answer.body == null ? new byte[0] : CBOR.writeValueAsBytes(answer.body);
            exchange.getResponseHeaders().set("Content-Type", "application/cbor");
            exchange.sendResponseHeaders(answer.status, out.length == 0 ? -1 : out.length);
            if (out.length > 0) {
                exchange.getResponseBody().write(out);
            }
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException(e);
        }
    }
}
