package io.kelphoist.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.wire.MalformedMessageException;
import io.kelphoist.wire.MessageEncoding;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Emulates the worker of one machine: sends heartbeats, and executes the commands in the responses
 * to them and those that controllers send directly. Tasks end after a fixed time, except those of
 * jobs whose id starts with "job-9", which run until they are stopped. Owns the machine's tasks,
 * which are guarded by its monitor. Heartbeats end when the timers of the {@link Config} are shut
 * down, or with the first one after {@link #close}, which fails because it needs the address of the
 * stopped server.
 */
public final class EmulatedWorker extends EmulatedService {
    /**
     * Records the starts and stops of tasks on all emulated workers, for tests. Its monitor is
     * notified of every change.
     */
    public static final class TaskLog {
        /** By task: the machines of the running tasks that run until they are stopped. */
        private final Map<String, String> machineByRunningTask = new LinkedHashMap<>();

        private final Map<String, Integer> startCounts = new LinkedHashMap<>();
        private String duplicateExecution;

        /**
         * Records that a task was started.
         *
         * @param runsUntilStopped false if the task ends by itself; it is then not recorded as
         *     running
         */
        public synchronized void onStarted(String task, String machine, boolean runsUntilStopped) {
            String otherMachine =
                    runsUntilStopped
                            ? machineByRunningTask.put(task, machine)
                            : machineByRunningTask.get(task);
            if (otherMachine != null && !otherMachine.equals(machine)) {
                duplicateExecution = task + " is running on " + otherMachine + " and " + machine;
            }
            startCounts.merge(task, 1, Integer::sum);
            notifyAll();
        }

        /** Records that a task was stopped; a task that ends by itself is not recorded here. */
        public synchronized void onStopped(String task) {
            machineByRunningTask.remove(task);
            notifyAll();
        }

        /**
         * Waits until a task is running, or is not running; has no timeout of its own. Only tasks
         * that run until they are stopped are recorded as running.
         *
         * @param isRunning true to wait for the start, false to wait for the stop; a task that has
         *     never started counts as stopped
         */
        public synchronized void awaitRunning(String task, boolean isRunning)
                throws InterruptedException {
            while (machineByRunningTask.containsKey(task) != isRunning) {
                wait();
            }
        }

        /**
         * Describes the last task that was running on two machines at once; null if there was none.
         * Only tasks that run until they are stopped are checked.
         */
        public synchronized String duplicateExecution() {
            return duplicateExecution;
        }

        /** Returns the number of times that a task was started. */
        public synchronized int startCount(String task) {
            return startCounts.getOrDefault(task, 0);
        }
    }

    /**
     * The configuration that the workers of a cluster share.
     *
     * @param controllers addresses of the controllers; after a failure, a worker sends its next
     *     heartbeat to the next controller
     * @param timers runs the heartbeats
     * @param heartbeatIntervalMillis the time from the response to a heartbeat, or its failure, to
     *     the next heartbeat
     * @param taskMillis the run time of a task that ends by itself; 0 to end it when it starts
     */
    public record Config(
            List<String> controllers,
            TaskLog taskLog,
            ScheduledExecutorService timers,
            long heartbeatIntervalMillis,
            long taskMillis) {}

    /**
     * An attempt of a task.
     *
     * @param exitReason null while it is running
     */
    private record Task(
            String name, long attempt, String state, String exitReason, long startedMillis) {
        static Task running(String name, long attempt) {
            return new Task(name, attempt, "running", null, nowMillis());
        }

        Task exited(String reason) {
            return new Task(name, attempt, "exited", reason, startedMillis);
        }

        boolean hasExited() {
            return exitReason != null;
        }
    }

    private static final String HEARTBEAT_PATH = "/v1/report";
    private static final String STATUS_PATH = "/inspect";
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);
    private static final Duration HEARTBEAT_TIMEOUT = Duration.ofMillis(1500);
    private static final int AGENT_EPOCH = 1;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final String name;
    private final String zone;
    private final Config config;
    private final HttpClient http =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(CONNECT_TIMEOUT)
                    .build();

    /**
     * By {@link #id}, the task's name and the attempt. Has exited tasks until they are forgotten.
     */
    private final Map<String, Task> tasks = new LinkedHashMap<>();

    private int controllerIndex;
    private long sequenceNumber;
    private long fencingToken;

    /** Starts a worker: its HTTP server for direct commands, and its heartbeats. */
    public EmulatedWorker(String name, String zone, Config config) {
        this.name = name;
        this.zone = zone;
        this.config = config;
        ScheduledFuture<?> unused =
                config.timers()
                        .scheduleWithFixedDelay(
                                this::sendHeartbeat,
                                0,
                                config.heartbeatIntervalMillis(),
                                TimeUnit.MILLISECONDS);
    }

    private static long nowMillis() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    /**
     * Whether a task runs until it is stopped, as those of services do. The emulator decides by the
     * job's id, because commands don't contain the job's kind.
     */
    private static boolean runsUntilStopped(String taskName) {
        return taskName.startsWith("job-9");
    }

    private synchronized ObjectNode buildHeartbeat() {
        tasks.replaceAll((id, task) -> isDone(task) ? task.exited("done") : task);
        ObjectNode heartbeat =
                MessageEncoding.newObject()
                        .put("buoy", name)
                        .put("address", address())
                        .put("hull", "m")
                        .put("bed", zone)
                        .put("driftwood", false)
                        .put("watch", AGENT_EPOCH)
                        .put("knot", ++sequenceNumber)
                        .put("helm", fencingToken);
        ArrayNode taskNodes = heartbeat.putArray("fronds");
        for (Task task : tasks.values()) {
            ObjectNode taskNode =
                    taskNodes
                            .addObject()
                            .put("frond", task.name())
                            .put("cast", task.attempt())
                            .put("sway", task.state());
            if (task.hasExited()) {
                taskNode.put("wreck", task.exitReason());
            }
        }
        return heartbeat;
    }

    private boolean isDone(Task task) {
        return !task.hasExited()
                && !runsUntilStopped(task.name())
                && nowMillis() - task.startedMillis() >= config.taskMillis();
    }

    private void sendHeartbeat() {
        try {
            HttpResponse<byte[]> response =
                    http.send(heartbeatRequest(), HttpResponse.BodyHandlers.ofByteArray());
            if (response.statusCode() == StatusCodes.OK) {
                executeCommands(MessageEncoding.decodeCbor(response.body()));
                return;
            }
        } catch (IOException | MalformedMessageException e) {
            // The next heartbeat goes to the next controller.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        controllerIndex = (controllerIndex + 1) % config.controllers().size();
    }

    private HttpRequest heartbeatRequest() {
        String controller = config.controllers().get(controllerIndex);
        return HttpRequest.newBuilder(URI.create("http://" + controller + HEARTBEAT_PATH))
                .timeout(HEARTBEAT_TIMEOUT)
                .POST(
                        HttpRequest.BodyPublishers.ofByteArray(
                                MessageEncoding.encodeCbor(buildHeartbeat())))
                .build();
    }

    /**
     * Executes the commands of a message and remembers its fencing token. Returns false without
     * executing them if the token is lower than one received before.
     */
    private synchronized boolean executeCommands(JsonNode message) {
        if (message.path("helm").asLong() < fencingToken) {
            return false;
        }
        fencingToken = message.path("helm").asLong();
        for (JsonNode command : message.path("calls")) {
            String taskName = command.path("frond").asText();
            long attempt = command.path("cast").asLong();
            switch (command.path("call").asText()) {
                case "start" -> startTask(taskName, attempt);
                case "halt" -> stopTask(taskName, attempt);
                default -> forgetTask(taskName, attempt);
            }
        }
        return true;
    }

    private static String id(String taskName, long attempt) {
        return taskName + "@" + attempt;
    }

    private void startTask(String taskName, long attempt) {
        if (tasks.containsKey(id(taskName, attempt))) {
            return;
        }
        boolean endsOnlyWhenStopped = runsUntilStopped(taskName);
        config.taskLog().onStarted(taskName, name, endsOnlyWhenStopped);
        Task task = Task.running(taskName, attempt);
        boolean keepsRunning = endsOnlyWhenStopped || config.taskMillis() > 0;
        tasks.put(id(taskName, attempt), keepsRunning ? task : task.exited("done"));
    }

    private void stopTask(String taskName, long attempt) {
        Task task = tasks.get(id(taskName, attempt));
        if (task != null && !task.hasExited()) {
            tasks.put(id(taskName, attempt), task.exited("stopped"));
            config.taskLog().onStopped(taskName);
        }
    }

    private void forgetTask(String taskName, long attempt) {
        Task task = tasks.get(id(taskName, attempt));
        if (task != null && task.hasExited()) {
            tasks.remove(id(taskName, attempt));
        }
    }

    /**
     * Responds with the worker's next heartbeat. The status is 409 if the commands in the request
     * were not executed: for another agent epoch, or with a stale fencing token.
     */
    @Override
    protected synchronized Response respond(HttpServerExchange exchange, ObjectNode body) {
        boolean isAccepted =
                exchange.getRequestPath().equals(STATUS_PATH)
                        || (body.path("watch").asLong() == AGENT_EPOCH && executeCommands(body));
        return new Response(isAccepted ? StatusCodes.OK : StatusCodes.CONFLICT, buildHeartbeat());
    }
}
