package io.kelphoist.cli;

import com.google.protobuf.ByteString;
import io.kelphoist.client.KelphoistClient;
import io.kelphoist.grpc.v1.WatchRequest;
import java.io.IOException;
import java.io.PrintStream;
import java.util.Base64;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Watches jobs and prints their events. */
@Command(
        name = "watch",
        description =
                "Shows the events of jobs: of the given jobs until all have ended, or of all jobs, or of those of a team and class.")
final class WatchCommand extends ClientCommand {
    @Parameters(
            paramLabel = "JOB",
            arity = "0..*",
            description = "Ids of the jobs; without any, all jobs.")
    private List<String> jobs = List.of();

    @Option(names = "--team", defaultValue = "", description = "Only jobs of this team.")
    private String team;

    @Option(names = "--class", defaultValue = "", description = "Only jobs of this class.")
    private String jobClass;

    @Option(
            names = "--cursor",
            paramLabel = "BASE64",
            description = "Resume after this cursor, with the same jobs, team and class.")
    private String cursor;

    @Option(
            names = "--cursors",
            description = "Show the cursor of each line of a table; json always has it.")
    private boolean showCursors;

    WatchCommand(PrintStream out) {
        super(out);
    }

    @Override
    int run(KelphoistClient client) throws IOException, InterruptedException {
        WatchRequest.Builder request =
                WatchRequest.newBuilder().addAllJobs(jobs).setTeam(team).setJobClass(jobClass);
        if (cursor != null) {
            try {
                request.setCursor(ByteString.copyFrom(Base64.getDecoder().decode(cursor)));
            } catch (IllegalArgumentException e) {
                throw new IOException("--cursor: expected base64, found '" + cursor + "'", e);
            }
        }
        return watchUntilEnded(client, request.build(), showCursors);
    }
}
