package io.kelphoist.config;

import com.google.protobuf.TextFormat;
import io.kelphoist.config.proto.Operator;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/** Reads {@link OperatorSettings} from a file in the protobuf text format. */
final class OperatorSettingsReader {
    private final Path file;

    private OperatorSettingsReader(Path file) {
        this.file = file;
    }

    /**
     * Reads a settings file. Unknown fields are ignored.
     *
     * @throws InvalidSettingsException if the file can't be read or a field is invalid
     */
    static OperatorSettings read(Path file) throws InvalidSettingsException {
        OperatorSettingsReader reader = new OperatorSettingsReader(file);
        return reader.toSettings(reader.parse());
    }

    private Operator parse() throws InvalidSettingsException {
        Operator.Builder builder = Operator.newBuilder();
        try {
            TextFormat.Parser.newBuilder()
                    .setAllowUnknownFields(true)
                    .build()
                    .merge(Files.readString(file), builder);
        } catch (TextFormat.ParseException e) {
            throw invalid("line " + e.getLine(), e.getMessage());
        } catch (IOException e) {
            throw invalid("", "can't be read: " + e);
        }
        return builder.build();
    }

    private OperatorSettings toSettings(Operator operator) throws InvalidSettingsException {
        return new OperatorSettings(
                integer(
                        "leader_lease_ms",
                        operator.getLeaderLeaseMs(),
                        /* min= */ 500,
                        /* max= */ 60_000),
                integer("grant_ms", operator.getGrantMs(), /* min= */ 500, /* max= */ 60_000),
                number("offer_s", operator.getOfferS(), /* min= */ 0.1, /* max= */ 600),
                number("locality_wait_s", operator.getLocalityWaitS(), /* min= */ 1, /* max= */ 5),
                number("machine_hold_s", operator.getMachineHoldS(), /* min= */ 0, /* max= */ 600),
                number("gang_hold_s", operator.getGangHoldS(), /* min= */ 0, /* max= */ 600),
                number("headroom", operator.getHeadroom(), /* min= */ 0, /* max= */ 10),
                number("idle_s", operator.getIdleS(), /* min= */ 0, /* max= */ 3600),
                operator.getCaretaking(),
                operator.getStandby(),
                operator.hasGrpc()
                        ? Optional.of(new GrpcSettingsReader(file, operator.getGrpc()).read())
                        : Optional.empty(),
                operator.hasTrace()
                        ? Optional.of(collectorUrl(operator.getTrace().getOtlp()))
                        : Optional.empty());
    }

    private String collectorUrl(String otlp) throws InvalidSettingsException {
        if (!otlp.isEmpty() && !otlp.matches("https?://[^/\\s]+(/\\S*)?")) {
            throw invalid(
                    "trace.otlp",
                    "'" + otlp + "' is not an HTTP URL such as http://host:4318/v1/traces");
        }
        return otlp;
    }

    private int integer(String field, int value, int min, int max) throws InvalidSettingsException {
        return (int) number(field, value, min, max);
    }

    private double number(String field, double value, double min, double max)
            throws InvalidSettingsException {
        return requireInRange(file, field, value, min, max);
    }

    /**
     * Returns a value that is within bounds, both inclusive.
     *
     * @throws InvalidSettingsException if the value is out of bounds
     */
    static double requireInRange(Path file, String field, double value, double min, double max)
            throws InvalidSettingsException {
        if (!(value >= min && value <= max)) {
            throw new InvalidSettingsException(
                    file.toString(), field, value + " is not within " + min + " to " + max);
        }
        return value;
    }

    private InvalidSettingsException invalid(String field, String reason) {
        return new InvalidSettingsException(file.toString(), field, reason);
    }
}
