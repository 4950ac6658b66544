package io.kelphoist.cli;

import io.kelphoist.client.KelphoistClient;
import io.kelphoist.grpc.v1.JobState;
import java.io.IOException;
import java.io.PrintStream;
import picocli.CommandLine.Parameters;

/** Base of the commands that call the service for one job and print the job's state. */
abstract class SingleJobCommand extends ClientCommand {
    @Parameters(paramLabel = "JOB", description = "Id of the job.")
    private String job;

    SingleJobCommand(PrintStream out) {
        super(out);
    }

    @Override
    int run(KelphoistClient client) throws IOException, InterruptedException {
        printer().printState(request(client, job));
        return ExitCodes.OK;
    }

    /** Calls the service for the job and returns the state in the response. */
    abstract JobState request(KelphoistClient client, String job) throws InterruptedException;
}
