package io.kelphoist.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.wire.MalformedMessageException;
import io.kelphoist.wire.MessageEncoding;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiFunction;

/**
 * Emulates the cloud. A machine runs as soon as a scale-out request asks for it, and a repeated
 * request gets the same response as the first one. Has at most {@value #MAX_MACHINES} machines, all
 * of one type. Owns the machines' workers and the responses to scale-out requests. A scale-in
 * request closes the worker of its machine; {@link #close} stops only the cloud's own server.
 * Requests are handled one at a time.
 */
public final class EmulatedCloud extends EmulatedService {
    private static final String MACHINE_TYPES =
            """
            {"hulls":[{"label":"m","cpus":8,"accelerators":4,"ram_gb":64,"cache_gb":50,"pull_gb_per_s":1.0,"hourly":9.0,
             "spot_price":9.0,"startup_s":5,"beds":["z"]}]}""";

    private static final int MAX_MACHINES = 4;

    /**
     * The distance between the first numbers of two requests. It is more than {@link
     * #MAX_MACHINES}, so that the names of machines are unique.
     */
    private static final int NAMES_PER_REQUEST = 100;

    private final BiFunction<String, String, EmulatedWorker> workerFactory;
    private final TreeMap<String, EmulatedWorker> machines = new TreeMap<>();

    /** By id of the scale-out request. */
    private final Map<String, ObjectNode> responseByRequestId = new LinkedHashMap<>();

    /**
     * Creates a cloud without machines.
     *
     * @param workerFactory creates the worker of a machine from the machine's name and zone
     */
    public EmulatedCloud(BiFunction<String, String, EmulatedWorker> workerFactory) {
        this.workerFactory = workerFactory;
    }

    @Override
    protected synchronized Response respond(HttpServerExchange exchange, ObjectNode body) {
        return switch (exchange.getRequestPath()) {
            case "/flavors" -> new Response(StatusCodes.OK, machineTypes());
            case "/rentals/return" -> scaleIn(body);
            default ->
                    exchange.getRequestMethod().equals(Methods.POST)
                            ? scaleOut(body)
                            : listInstances();
        };
    }

    private static ObjectNode machineTypes() {
        try {
            return MessageEncoding.decodeJson(MACHINE_TYPES.getBytes(StandardCharsets.UTF_8));
        } catch (MalformedMessageException e) {
            throw new IllegalStateException("MACHINE_TYPES is not valid JSON", e);
        }
    }

    private Response scaleIn(ObjectNode body) {
        for (JsonNode name : body.path("buoys")) {
            EmulatedWorker worker = machines.remove(name.asText());
            if (worker != null) {
                worker.close();
            }
        }
        return new Response(StatusCodes.OK, MessageEncoding.newObject());
    }

    private Response scaleOut(ObjectNode body) {
        ObjectNode response =
                responseByRequestId.computeIfAbsent(
                        body.path("charter").asText(), requestId -> startMachines(body));
        return new Response(StatusCodes.OK, response);
    }

    private ObjectNode startMachines(ObjectNode body) {
        ObjectNode response = MessageEncoding.newObject();
        ArrayNode names = response.putArray("buoys");
        int count = body.path("count").asInt();
        for (int i = 0; i < count && machines.size() < MAX_MACHINES; i++) {
            int number = responseByRequestId.size() * NAMES_PER_REQUEST + i;
            String name = "vm-%06d".formatted(number);
            machines.put(name, workerFactory.apply(name, body.path("bed").asText()));
            names.add(name);
        }
        return response;
    }

    private Response listInstances() {
        ObjectNode response = MessageEncoding.newObject().put("has_next", false);
        ArrayNode instances = response.putArray("buoys");
        machines.forEach(
                (name, worker) ->
                        instances
                                .addObject()
                                .put("name_id", name)
                                .put("address", worker.address())
                                .put("hull", "m")
                                .put("bed", "z")
                                .put("driftwood", false)
                                .put("sway", "running")
                                .put("age_s", 1.0));
        return new Response(StatusCodes.OK, response);
    }
}
