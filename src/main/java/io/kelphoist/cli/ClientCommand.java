package io.kelphoist.cli;

import com.google.protobuf.InvalidProtocolBufferException;
import io.grpc.ChannelCredentials;
import io.grpc.InsecureChannelCredentials;
import io.grpc.TlsChannelCredentials;
import io.kelphoist.client.KelphoistClient;
import io.kelphoist.grpc.v1.WatchRequest;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import picocli.CommandLine.Option;

/** Base of the users' commands: their common options, and the creation of the client. */
abstract class ClientCommand implements Callable<Integer> {
    private final PrintStream out;

    @Option(
            names = "--to",
            paramLabel = "HOST:PORT",
            split = ",",
            required = true,
            description = "Addresses of the controllers' gRPC servers, separated by commas.")
    private List<String> addresses;

    @Option(
            names = "--ca",
            paramLabel = "FILE",
            description =
                    "Authorities of the controllers' certificates (PEM). Without this option, TLS is not used, and --cert and --key are ignored.")
    private Path caFile;

    @Option(
            names = "--cert",
            paramLabel = "FILE",
            description =
                    "This client's certificate (PEM). Used only together with --ca and --key.")
    private Path certificateFile;

    @Option(
            names = "--key",
            paramLabel = "FILE",
            description =
                    "The private key of this client's certificate (PEM). Used only together with --ca and --cert.")
    private Path keyFile;

    @Option(
            names = "--output",
            paramLabel = "HOW",
            defaultValue = "table",
            description =
                    "Format of the output: table, or json. Each line is a job's state, an event or the state of the stream; in json, it is one object.")
    private JobPrinter.Format format;

    @Option(
            names = "--tries",
            paramLabel = "N",
            defaultValue = "20",
            description =
                    "Attempts at a call before the command fails (${DEFAULT-VALUE}). For a watch, they are counted since its last message.")
    private int maxAttempts;

    @Option(
            names = {"-h", "--help"},
            usageHelp = true,
            description = "Show this help and exit.")
    @SuppressWarnings("UnusedVariable") // Handled by picocli.
    private boolean help;

    ClientCommand(PrintStream out) {
        this.out = out;
    }

    /** Runs the command and returns its exit code. */
    abstract int run(KelphoistClient client) throws IOException, InterruptedException;

    @Override
    public final Integer call() throws IOException, InterruptedException {
        try (KelphoistClient client = createClient()) {
            return run(client);
        }
    }

    private KelphoistClient createClient() throws IOException {
        return new KelphoistClient(addresses, credentials(), maxAttempts);
    }

    private ChannelCredentials credentials() throws IOException {
        if (caFile == null) {
            return InsecureChannelCredentials.create();
        }
        TlsChannelCredentials.Builder builder =
                TlsChannelCredentials.newBuilder().trustManager(caFile.toFile());
        if (certificateFile != null && keyFile != null) {
            builder.keyManager(certificateFile.toFile(), keyFile.toFile());
        }
        return builder.build();
    }

    /** Returns a printer for the format in the options. */
    final JobPrinter printer() {
        return new JobPrinter(out, format);
    }

    /**
     * Prints the events of jobs until all jobs that the request names have ended. If the request
     * names no jobs, this method does not return; it throws an exception if the watch fails.
     *
     * @param withCursor whether each line of a table ends with the cursor to resume from after it;
     *     in JSON, each line has the cursor anyway
     * @return {@link ExitCodes#CANCELLED} if at least one job was cancelled, otherwise {@link
     *     ExitCodes#OK}
     */
    final int watchUntilEnded(KelphoistClient client, WatchRequest request, boolean withCursor)
            throws InterruptedException {
        JobPrinter printer = printer();
        Set<String> cancelledJobs = new HashSet<>();
        client.watch(
                request,
                message -> {
                    try {
                        printer.printMessage(message, withCursor);
                    } catch (InvalidProtocolBufferException e) {
                        throw new IllegalStateException(
                                "can't print the message as JSON: type="
                                        + message.getWhatCase()
                                        + " job="
                                        + message.getEvent().getJob(),
                                e);
                    }
                    if (message.getEvent().hasCancelled()) {
                        cancelledJobs.add(message.getEvent().getJob());
                    }
                    return true;
                });
        return cancelledJobs.isEmpty() ? ExitCodes.OK : ExitCodes.CANCELLED;
    }
}
