package io.kelphoist.cli;

import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.Charset;
import java.util.Locale;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The users' commands over gRPC: submit, watch, get and cancel. */
public final class UserCommands {
    private UserCommands() {}

    /**
     * Runs a command.
     *
     * @param args name of the command and its arguments
     * @return the exit code, see {@link ExitCodes}; 2 for invalid arguments
     */
    public static int run(String[] args, PrintStream out, PrintStream err) {
        return newCommandLine(out, err).execute(args);
    }

    private static CommandLine newCommandLine(PrintStream out, PrintStream err) {
        CommandLine commandLine =
                new CommandLine(new RootCommand())
                        .addSubcommand(new SubmitCommand(out))
                        .addSubcommand(new WatchCommand(out))
                        .addSubcommand(new GetCommand(out))
                        .addSubcommand(new CancelCommand(out));
        commandLine.setOut(newWriter(out)).setErr(newWriter(err));
        commandLine.setCaseInsensitiveEnumValuesAllowed(true);
        commandLine.setExecutionExceptionHandler(
                (e, failedCommand, parsed) -> {
                    err.println("kelphoist: " + describe(e));
                    return ExitCodes.FAILED;
                });
        return commandLine;
    }

    private static PrintWriter newWriter(PrintStream stream) {
        return new PrintWriter(stream, true, Charset.defaultCharset());
    }

    private static String describe(Exception e) {
        if (!(e instanceof StatusRuntimeException statusException)) {
            return e.getMessage();
        }
        Status status = statusException.getStatus();
        String code = status.getCode().name().toLowerCase(Locale.ROOT).replace('_', ' ');
        return status.getDescription() == null ? code : code + ": " + status.getDescription();
    }

    @Command(
            name = "kelphoist",
            mixinStandardHelpOptions = true,
            description = "Submits, watches and cancels jobs.")
    private static final class RootCommand {}
}
