package io.kelphoist.cli;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import io.kelphoist.client.KelphoistClient;
import io.kelphoist.grpc.v1.Job;
import io.kelphoist.grpc.v1.SubmitResponse;
import io.kelphoist.grpc.v1.WatchRequest;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Submits a job, and with {@code --watch} prints its events until it has ended. */
@Command(
        name = "submit",
        description = "Submits a job from a file in JSON with the fields of kelphoist.v1.Job.")
final class SubmitCommand extends ClientCommand {
    @Parameters(paramLabel = "FILE", description = "The file with the job.")
    private Path file;

    @Option(
            names = "--watch",
            description =
                    "Watch the job until it has ended; the exit code is 0 if it is done, 3 if it is cancelled.")
    private boolean watch;

    SubmitCommand(PrintStream out) {
        super(out);
    }

    @Override
    int run(KelphoistClient client) throws IOException, InterruptedException {
        Job.Builder job = Job.newBuilder();
        try {
            JsonFormat.parser().merge(Files.readString(file), job);
        } catch (InvalidProtocolBufferException e) {
            throw new IOException(file + ": " + e.getMessage(), e);
        }
        SubmitResponse response = client.submit(job.build());
        printer().printState(response.getJob());
        return watch
                ? watchUntilEnded(
                        client,
                        WatchRequest.newBuilder().addJobs(job.getId()).build(),
                        /* withCursor= */ false)
                : ExitCodes.OK;
    }
}
