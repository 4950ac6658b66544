import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** An HTTP client of users and workers. */
final class Client {
    /** An answer; status 0: none. */
    record Answer(int status, JsonNode body) {
        String sway() {
            return body == null ? "" : body.path("sway").asText();
        }

        @Override
        public String toString() {
            return status == 0 ? "no answer" : status + " " + (body == null ? "" : body);
        }
    }

    private HttpClient http = newHttp();

    private static HttpClient newHttp() {
        return HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofMillis(1000))
                .build();
    }

    Answer call(String method, String address, String path, JsonNode body, int timeoutMillis) {
        try {
            HttpRequest.Builder request =
                    HttpRequest.newBuilder(URI.create("http://" + address + path))
                            .timeout(Duration.ofMillis(timeoutMillis));
            request.method(
                    method,
                    body == null
                            ? HttpRequest.BodyPublishers.noBody()
                            : HttpRequest.BodyPublishers.ofByteArray(
                                    Http.CBOR.writeValueAsBytes(body)));
            HttpResponse<byte[]> response =
                    http.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
            byte[] bytes = response.body();
            return new Answer(
                    response.statusCode(), bytes.length == 0 ? null : Http.CBOR.readTree(bytes));
        } catch (java.io.IOException e) {
            return new Answer(0, null);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Answer(0, null);
        }
    }
}
