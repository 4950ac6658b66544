package io.kelphoist.cli;

import io.kelphoist.client.KelphoistClient;
import io.kelphoist.grpc.v1.JobState;
import java.io.PrintStream;
import picocli.CommandLine.Command;

/** Prints the state of a job. */
@Command(name = "get", description = "Shows the state of a job.")
final class GetCommand extends SingleJobCommand {
    GetCommand(PrintStream out) {
        super(out);
    }

    @Override
    JobState request(KelphoistClient client, String job) throws InterruptedException {
        return client.get(job);
    }
}
