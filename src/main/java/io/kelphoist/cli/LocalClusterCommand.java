package io.kelphoist.cli;

import com.google.common.net.HostAndPort;
import io.kelphoist.config.GrpcSettings;
import io.kelphoist.config.InvalidSettingsException;
import io.kelphoist.config.OperatorSettings;
import io.kelphoist.controller.ControllerProcess;
import io.kelphoist.emulator.LocalEnvironment;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * The command that runs a local cluster in one process on loopback: controllers that serve gRPC,
 * and emulators of the state store, the cloud and the workers. All state is lost when it stops.
 */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        description =
                "Starts a local cluster for experiments: controllers, with emulators of the state store, the cloud and the workers, on loopback.")
final class LocalClusterCommand implements Callable<Integer> {
    private static final int CURSOR_KEY_BYTES = 32;
    private static final double SECONDS_PER_NANO = 1e-9;

    private final PrintStream out;

    @Option(
            names = "--controllers",
            defaultValue = "2",
            description = "Number of controllers (${DEFAULT-VALUE}).")
    private int controllers;

    @Option(
            names = "--grpc",
            paramLabel = "PORT",
            defaultValue = "7443",
            description =
                    "gRPC port of the first controller (${DEFAULT-VALUE}); the others use the ports after it.")
    private int firstGrpcPort;

    @Option(
            names = "--task-ms",
            paramLabel = "<taskMs>",
            defaultValue = "3000",
            description =
                    "How long a task runs, in ms (${DEFAULT-VALUE}); tasks of jobs named job-9... run until they are stopped.")
    private int taskMillis;

    private LocalClusterCommand(PrintStream out) {
        this.out = out;
    }

    /**
     * Runs the command. Returns an exit code only if help is requested, the arguments are invalid
     * or the cluster can't start; otherwise it runs until the process is stopped.
     */
    static int run(String[] args, PrintStream out) {
        return new CommandLine(new LocalClusterCommand(out)).execute(args);
    }

    @Override
    public Integer call() throws IOException, InvalidSettingsException, InterruptedException {
        byte[] cursorKey = new byte[CURSOR_KEY_BYTES];
        new SecureRandom().nextBytes(cursorKey);
        OperatorSettings operatorSettings =
                OperatorSettings.DEFAULTS.withFeatures(OperatorSettings.FEATURES);
        Path directory = Files.createTempDirectory("kelphoist-lab");
        try (LocalEnvironment environment =
                new LocalEnvironment(directory, controllers, taskMillis)) {
            List<String> grpcAddresses = new ArrayList<>();
            for (int i = 0; i < controllers; i++) {
                GrpcSettings grpcSettings = grpcSettings(firstGrpcPort + i, cursorKey);
                ControllerProcess.start(
                        environment.settings().get(i),
                        operatorSettings.withGrpc(grpcSettings),
                        System.nanoTime() * SECONDS_PER_NANO);
                grpcAddresses.add(grpcSettings.listenAddress().toString());
            }
            out.println(
                    "team t, machines of 8 CPUs, 4 GPUs, 64 GB in zone z; HTTP on "
                            + String.join(",", environment.publicAddresses()));
            out.println("gRPC on " + String.join(",", grpcAddresses));
            // Waits forever: the cluster runs until the process is stopped.
            Thread.currentThread().join();
        }
        return 0;
    }

    private static GrpcSettings grpcSettings(int port, byte[] cursorKey) {
        return GrpcSettings.builder(
                        HostAndPort.fromParts("127.0.0.1", port),
                        List.of(new GrpcSettings.CursorKey(1, cursorKey)))
                .maxStreams(2000)
                .maxStreamsPerClient(200)
                .maxBufferedEvents(256)
                .maxRetainedEndedJobs(20_000)
                .stallTimeoutSeconds(60)
                .submissionsPerSecondPerTeam(200)
                .build();
    }
}
