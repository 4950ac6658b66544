package io.kelphoist.cli;

import io.kelphoist.client.KelphoistClient;
import io.kelphoist.grpc.v1.JobState;
import java.io.PrintStream;
import picocli.CommandLine.Command;

/** Cancels a job and prints its state. */
@Command(name = "cancel", description = "Cancels a job. A job that has ended is not changed.")
final class CancelCommand extends SingleJobCommand {
    CancelCommand(PrintStream out) {
        super(out);
    }

    @Override
    JobState request(KelphoistClient client, String job) throws InterruptedException {
        return client.cancel(job);
    }
}
