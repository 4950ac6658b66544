package io.kelphoist.emulator;

import io.kelphoist.config.InvalidSettingsException;
import io.kelphoist.config.PlatformSettings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

/**
 * What controllers need to run on loopback: an emulated state store, an emulated cloud, emulated
 * workers on the machines of that cloud, and the controllers' settings. Starts no controller: the
 * caller starts one for each of {@link #settings}, and stops them before it closes the environment.
 * Owns the state store, the cloud and the timers of the workers' heartbeats.
 */
public final class LocalEnvironment implements AutoCloseable {
    private static final int HEARTBEAT_INTERVAL_MILLIS = 150;
    private static final int TIMER_THREADS = 4;

    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(TIMER_THREADS);
    private final EmulatedWorker.TaskLog taskLog = new EmulatedWorker.TaskLog();
    private final EmulatedStateStore stateStore = new EmulatedStateStore();
    private final List<String> publicAddresses = new ArrayList<>();
    private final List<PlatformSettings> settings = new ArrayList<>();
    private final EmulatedCloud cloud;

    /**
     * Starts the emulated state store and cloud, and writes the controllers' settings. A worker
     * starts with its machine, which a controller requests from the cloud.
     *
     * @param settingsDirectory the directory to which the settings are written
     * @param controllerCount the number of controllers to write settings for; their names are a, b
     *     and so on
     * @param taskMillis the run time of a task; 0 to end each task when it starts. Tasks of jobs
     *     whose id starts with "job-9" run until they are stopped instead
     */
    public LocalEnvironment(Path settingsDirectory, int controllerCount, int taskMillis)
            throws IOException, InvalidSettingsException {
        EmulatedWorker.Config workerConfig =
                new EmulatedWorker.Config(
                        publicAddresses, taskLog, timers, HEARTBEAT_INTERVAL_MILLIS, taskMillis);
        cloud = new EmulatedCloud((name, zone) -> new EmulatedWorker(name, zone, workerConfig));
        List<String> peerAddresses = new ArrayList<>();
        for (int i = 0; i < controllerCount; i++) {
            peerAddresses.add(LoopbackPorts.nextFreeAddress());
            publicAddresses.add(LoopbackPorts.nextFreeAddress());
        }
        for (int i = 0; i < controllerCount; i++) {
            Path file = settingsDirectory.resolve(controllerName(i));
            Files.writeString(file, settingsJson(i, peerAddresses));
            settings.add(PlatformSettings.read(file));
        }
    }

    private String settingsJson(int controller, List<String> peerAddresses) {
        return """
                {"label":"%s","site":"z","serve_on":"%s","peer_listen":"%s","known":[%s],
                 "external":{"cloud":"%s","state":"%s"},
                 "cluster":{"zones":["z"],"teams":[{"name":"t","cpus":0,"cpus_max":0,"gpus":4,"gpus_max":8}],
                 "workers":{"report_s":0.2,"lease_s":6,"gang_wait_s":9,"gang_peer_s":2,"cancel_s":40},
                 "state":{"rps":1000,"write_rps":500,"value_kb":4,"txn_ops":8},"cloud":{"rps":20,"list_lag_s":1}}}"""
                .formatted(
                        controllerName(controller),
                        publicAddresses.get(controller),
                        peerAddresses.get(controller),
                        peersJson(controller, peerAddresses),
                        cloud.address(),
                        stateStore.address());
    }

    private static String peersJson(int controller, List<String> peerAddresses) {
        List<String> peers = new ArrayList<>();
        for (int peer = 0; peer < peerAddresses.size(); peer++) {
            if (peer != controller) {
                peers.add(
                        "{\"label\":\"%s\",\"site\":\"z\",\"peer_addr\":\"%s\"}"
                                .formatted(controllerName(peer), peerAddresses.get(peer)));
            }
        }
        return String.join(",", peers);
    }

    private static String controllerName(int controller) {
        return String.valueOf((char) ('a' + controller));
    }

    /** Returns the emulated state store, in which tests cause faults. */
    public EmulatedStateStore stateStore() {
        return stateStore;
    }

    /** Returns the log of the tasks on all workers. */
    public EmulatedWorker.TaskLog taskLog() {
        return taskLog;
    }

    /** Returns the addresses, as host:port, at which the controllers serve users and workers. */
    public List<String> publicAddresses() {
        return publicAddresses;
    }

    /** Returns the settings of the controllers, in the order of {@link #publicAddresses}. */
    public List<PlatformSettings> settings() {
        return settings;
    }

    /**
     * Ends the workers' heartbeats, and stops the emulated cloud and the emulated state store. The
     * HTTP servers of workers whose machines the cloud still has stay open.
     */
    @Override
    public void close() {
        timers.shutdownNow();
        cloud.close();
        stateStore.close();
    }
}
