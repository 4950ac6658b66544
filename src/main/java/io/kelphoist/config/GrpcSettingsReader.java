package io.kelphoist.config;

import com.google.common.net.HostAndPort;
import io.kelphoist.config.proto.Client;
import io.kelphoist.config.proto.Grpc;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Reads {@link GrpcSettings} from the operators' settings file. */
final class GrpcSettingsReader {
    private final Path file;
    private final Grpc grpc;

    /**
     * Creates a reader.
     *
     * @param file the settings file; paths in it are relative to its directory
     * @param grpc the parsed field {@code grpc} of the file
     */
    GrpcSettingsReader(Path file, Grpc grpc) {
        this.file = file;
        this.grpc = grpc;
    }

    /**
     * Checks the fields and returns the settings.
     *
     * @throws InvalidSettingsException if a field is invalid, or a file that it names can't be read
     */
    GrpcSettings read() throws InvalidSettingsException {
        HostAndPort listenAddress = readListenAddress();
        Optional<GrpcSettings.Tls> tls = readTls(listenAddress);
        Map<String, TeamAccess> accessByClient = readAccessByClient(tls);
        List<GrpcSettings.CursorKey> cursorKeys =
                CursorKeyFile.read(file, readableFile("grpc.cursor_keys", grpc.getCursorKeys()));
        return GrpcSettings.builder(listenAddress, cursorKeys)
                .tls(tls)
                .accessByClient(accessByClient)
                .maxStreams(integer("grpc.streams", grpc.getStreams(), 1, 100_000))
                .maxStreamsPerClient(
                        integer("grpc.streams_per_client", grpc.getStreamsPerClient(), 1, 100_000))
                .maxBufferedEvents(integer("grpc.buffered", grpc.getBuffered(), 8, 100_000))
                .maxRetainedEndedJobs(
                        integer("grpc.kept_ended", grpc.getKeptEnded(), 100, 1_000_000))
                .stallTimeoutSeconds(number("grpc.stall_s", grpc.getStallS(), 1, 3600))
                .submissionsPerSecondPerTeam(
                        number(
                                "grpc.submissions_per_team",
                                grpc.getSubmissionsPerTeam(),
                                0.1,
                                100_000))
                .build();
    }

    private HostAndPort readListenAddress() throws InvalidSettingsException {
        try {
            HostAndPort address = HostAndPort.fromString(grpc.getListen());
            if (address.hasPort() && !address.getHost().isEmpty()) {
                return address;
            }
        } catch (IllegalArgumentException e) {
            // Reported below.
        }
        throw invalid("grpc.listen", "'" + grpc.getListen() + "' is not host:port");
    }

    private Optional<GrpcSettings.Tls> readTls(HostAndPort listenAddress)
            throws InvalidSettingsException {
        if (grpc.hasTls()) {
            String clientCa = grpc.getTls().getClientCa();
            return Optional.of(
                    new GrpcSettings.Tls(
                            readableFile("grpc.tls.certificate", grpc.getTls().getCertificate()),
                            readableFile("grpc.tls.key", grpc.getTls().getKey()),
                            clientCa.isEmpty()
                                    ? Optional.empty()
                                    : Optional.of(readableFile("grpc.tls.client_ca", clientCa))));
        }
        String host = listenAddress.getHost();
        if (!isLoopback(host)) {
            throw invalid(
                    "grpc.tls",
                    "is missing: required because grpc.listen is not a loopback address but "
                            + host);
        }
        return Optional.empty();
    }

    private static boolean isLoopback(String host) {
        try {
            return InetAddress.getByName(host).isLoopbackAddress();
        } catch (UnknownHostException e) {
            return false;
        }
    }

    private Map<String, TeamAccess> readAccessByClient(Optional<GrpcSettings.Tls> tls)
            throws InvalidSettingsException {
        Map<String, TeamAccess> accessByClient = new LinkedHashMap<>();
        for (Client client : grpc.getClientsList()) {
            String path = "grpc.clients[" + accessByClient.size() + "]";
            String name = client.getName();
            if (name.isEmpty() || accessByClient.containsKey(name)) {
                throw invalid(
                        path + ".name", "'" + name + "' is empty or the name of an earlier client");
            }
            if (client.getAllTeams() == (client.getTeamsCount() > 0)) {
                throw invalid(path, "expected either teams or all_teams, found both or neither");
            }
            accessByClient.put(
                    name,
                    client.getAllTeams()
                            ? new TeamAccess.AllTeams()
                            : new TeamAccess.NamedTeams(Set.copyOf(client.getTeamsList())));
        }
        if (!accessByClient.isEmpty() && tls.flatMap(GrpcSettings.Tls::clientCa).isEmpty()) {
            throw invalid(
                    "grpc.clients",
                    "are identified by their certificates, but grpc.tls.client_ca is missing");
        }
        return accessByClient;
    }

    private Path readableFile(String field, String name) throws InvalidSettingsException {
        if (name.isEmpty()) {
            throw invalid(field, "is missing");
        }
        Path path = file.toAbsolutePath().resolveSibling(name);
        if (!Files.isReadable(path)) {
            throw invalid(field, "the file '" + path + "' can't be read");
        }
        return path;
    }

    /** Returns a value that is within bounds, both inclusive. */
    private int integer(String field, int value, int min, int max) throws InvalidSettingsException {
        return (int) number(field, value, min, max);
    }

    /** Returns a value that is within bounds, both inclusive. */
    private double number(String field, double value, double min, double max)
            throws InvalidSettingsException {
        return OperatorSettingsReader.requireInRange(file, field, value, min, max);
    }

    private InvalidSettingsException invalid(String field, String reason) {
        return new InvalidSettingsException(file.toString(), field, reason);
    }
}
