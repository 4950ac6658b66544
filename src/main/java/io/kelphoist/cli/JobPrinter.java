package io.kelphoist.cli;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageOrBuilder;
import com.google.protobuf.util.JsonFormat;
import io.kelphoist.grpc.v1.JobEvent;
import io.kelphoist.grpc.v1.JobState;
import io.kelphoist.grpc.v1.Moved;
import io.kelphoist.grpc.v1.Phase;
import io.kelphoist.grpc.v1.Started;
import io.kelphoist.grpc.v1.Stopped;
import io.kelphoist.grpc.v1.WatchResponse;
import java.io.PrintStream;
import java.util.Base64;
import java.util.Locale;

/** Prints messages of the gRPC service, as rows of a table or as one line of JSON each. */
final class JobPrinter {
    /** Values of the option {@code --output}. */
    enum Format {
        TABLE,
        JSON
    }

    private final PrintStream out;
    private final Format format;

    JobPrinter(PrintStream out, Format format) {
        this.out = out;
        this.format = format;
    }

    /** Prints the state of a job. */
    void printState(JobState state) throws InvalidProtocolBufferException {
        if (format == Format.JSON) {
            printJson(state);
            return;
        }
        out.printf(
                "%-16s %-10s %-12s %-12s done %d, running %d%n",
                state.getId(),
                phaseName(state.getPhase()),
                state.getTeam(),
                state.getJobClass(),
                state.getDone(),
                state.getRunning());
    }

    /**
     * Prints a message of a stream.
     *
     * @param withCursor whether a row of a table ends with the cursor to resume from after the
     *     message, in base64; in JSON, each message has its cursor anyway
     */
    void printMessage(WatchResponse message, boolean withCursor)
            throws InvalidProtocolBufferException {
        if (format == Format.JSON) {
            printJson(message);
            return;
        }
        String cursor =
                withCursor
                        ? "  "
                                + Base64.getEncoder()
                                        .encodeToString(message.getCursor().toByteArray())
                        : "";
        if (message.hasState()) {
            String state =
                    message.getState().getCurrent()
                            ? "-- up to date"
                            : "-- the state service can't be asked: events follow when it responds";
            out.println(state + cursor);
        } else {
            printEvent(message.getEvent(), cursor);
        }
    }

    private void printEvent(JobEvent event, String cursor) {
        out.printf(
                "%-16s %-10s %-40s done %d, running %d%s%s%n",
                event.getJob(),
                eventName(event),
                eventDetail(event),
                event.getDone(),
                event.getRunning(),
                event.getPresent() ? " (current state)" : "",
                cursor);
    }

    private void printJson(MessageOrBuilder message) throws InvalidProtocolBufferException {
        out.println(
                JsonFormat.printer()
                        .omittingInsignificantWhitespace()
                        .preservingProtoFieldNames()
                        .print(message));
    }

    private static String phaseName(Phase phase) {
        return phase.name().substring("PHASE_".length()).toLowerCase(Locale.ROOT);
    }

    private static String eventName(JobEvent event) {
        String name = event.getWhatCase().name().toLowerCase(Locale.ROOT);
        return name.equals("done_event") ? "done" : name;
    }

    private static String eventDetail(JobEvent event) {
        return switch (event.getWhatCase()) {
            case HELD -> event.getHeld().getMachines() + " machines";
            case STARTED -> detail(event.getStarted());
            case MOVED -> detail(event.getMoved());
            case STOPPED -> detail(event.getStopped());
            default -> "";
        };
    }

    private static String detail(Started started) {
        return "task " + started.getTask() + " on " + started.getMachine();
    }

    private static String detail(Moved moved) {
        return "task "
                + moved.getTask()
                + " from "
                + moved.getFrom()
                + " to "
                + moved.getTo()
                + " ("
                + moved.getCause()
                + ")";
    }

    private static String detail(Stopped stopped) {
        return "task "
                + stopped.getTask()
                + " on "
                + stopped.getMachine()
                + " ("
                + stopped.getCause()
                + ")";
    }
}
