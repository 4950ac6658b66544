package io.kelphoist.contract;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.net.HostAndPort;
import com.google.protobuf.Descriptors.Descriptor;
import com.google.protobuf.Descriptors.EnumDescriptor;
import com.google.protobuf.Descriptors.EnumValueDescriptor;
import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Descriptors.FileDescriptor;
import com.google.protobuf.Descriptors.MethodDescriptor;
import com.google.protobuf.Descriptors.ServiceDescriptor;
import io.kelphoist.config.GrpcSettings;
import io.kelphoist.config.InvalidSettingsException;
import io.kelphoist.config.OperatorSettings;
import io.kelphoist.config.PlatformSettings;
import io.kelphoist.config.TeamAccess;
import io.kelphoist.config.proto.Operator;
import io.kelphoist.grpc.v1.Job;
import io.kelphoist.model.Resources;
import io.kelphoist.model.Team;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The names in the platform's settings file, in the operators' settings file and in the gRPC
 * service. Guards against a renamed or renumbered field, after which existing files and clients no
 * longer work.
 */
class SettingsContractTest {
    private static final double UNLIMITED = Double.POSITIVE_INFINITY;

    @TempDir private Path directory;

    @Nested
    class PlatformSettingsFile {
        @Test
        void everyFieldIsRead() throws IOException, InvalidSettingsException {
            // given
            Path file = copyOf("names/settings-every-field.json");
            // when
            PlatformSettings settings = PlatformSettings.read(file);
            // then
            assertEquals(settingsWithEveryField(), settings);
        }

        private static PlatformSettings settingsWithEveryField() {
            List<PlatformSettings.Peer> peers =
                    List.of(
                            new PlatformSettings.Peer("hoist-2", "b", "127.0.0.2:8081"),
                            new PlatformSettings.Peer("hoist-3", "", "127.0.0.3:8081"));
            List<Team> teams =
                    List.of(
                            new Team(
                                    "vision",
                                    new Resources(100, 4, UNLIMITED),
                                    new Resources(200, 8, UNLIMITED)),
                            new Team(
                                    "guests",
                                    Resources.NONE,
                                    new Resources(50, UNLIMITED, UNLIMITED)));
            return new PlatformSettings(
                    "hoist-1",
                    "a",
                    "127.0.0.1:8080",
                    "127.0.0.1:8081",
                    peers,
                    "127.0.0.1:9001",
                    "127.0.0.1:9002",
                    List.of("a", "b", "c"),
                    teams,
                    new PlatformSettings.Workers(
                            /* heartbeatIntervalSeconds= */ 2,
                            /* leaseSeconds= */ 10.5,
                            /* gangWaitSeconds= */ 61,
                            /* gangPeerSeconds= */ 7,
                            /* cancelSeconds= */ 33),
                    new PlatformSettings.StateLimits(250, 80, 4, 24),
                    new PlatformSettings.CloudLimits(5, 4.5),
                    Map.of("serve", 20.0, "train", 60.0),
                    /* socketLimit= */ 700,
                    /* clockErrorMillis= */ 250);
        }

        @Test
        void optionalFieldsMayBeAbsent() throws IOException, InvalidSettingsException {
            // given
            Path file = copyOf("names/settings-without-optional-fields.json");
            // when
            PlatformSettings settings = PlatformSettings.read(file);
            // then
            List<Team> teams =
                    List.of(
                            new Team(
                                    "vision",
                                    new Resources(100, UNLIMITED, UNLIMITED),
                                    new Resources(UNLIMITED, UNLIMITED, UNLIMITED)));
            assertEquals(
                    new PlatformSettings(
                            "hoist-1",
                            "",
                            "127.0.0.1:8080",
                            "127.0.0.1:8081",
                            List.of(),
                            "127.0.0.1:9001",
                            "127.0.0.1:9002",
                            List.of("a"),
                            teams,
                            new PlatformSettings.Workers(
                                    /* heartbeatIntervalSeconds= */ 2,
                                    /* leaseSeconds= */ 10,
                                    /* gangWaitSeconds= */ 60,
                                    /* gangPeerSeconds= */ 7,
                                    /* cancelSeconds= */ 30),
                            new PlatformSettings.StateLimits(
                                    /* requestsPerSecond= */ 300,
                                    /* writesPerSecond= */ 90,
                                    /* maxValueKilobytes= */ 8,
                                    /* maxTransactionChanges= */ 48),
                            new PlatformSettings.CloudLimits(5, 4),
                            Map.of(),
                            /* socketLimit= */ settings.socketLimit(),
                            1000),
                    settings);
        }
    }

    @Nested
    class OperatorSettingsFile {
        @Test
        void everyFieldIsRead() throws IOException, InvalidSettingsException {
            // given
            byte[] secret = "a secret of 24 bytes....".getBytes(StandardCharsets.UTF_8);
            writeReferencedFiles(secret);
            // when
            OperatorSettings settings =
                    OperatorSettings.read(copyOf("names/operator-every-field.txtpb"));
            // then
            GrpcSettings grpc = settings.grpc().orElseThrow();
            assertArrayEquals(secret, grpc.cursorKeys().get(0).secret());
            assertEquals(7, grpc.cursorKeys().get(0).id());
            assertEquals(
                    Map.of(
                            "builder",
                            new TeamAccess.NamedTeams(Set.of("vision", "speech")),
                            "dashboard",
                            new TeamAccess.AllTeams()),
                    grpc.accessByClient());
            assertEquals(grpcSettingsWithEveryField(grpc), grpc);
            assertEquals(
                    new OperatorSettings(
                            /* leaderLeaseMillis= */ 4000,
                            /* grantMillis= */ 1600,
                            /* machineHoldBackoffSeconds= */ 6,
                            /* localityWaitSeconds= */ 2,
                            /* machineHoldSeconds= */ 21,
                            /* gangReservationSeconds= */ 16,
                            /* headroom= */ 0.25,
                            /* idleSeconds= */ 41,
                            /* leaseDelegation= */ true,
                            /* standby= */ true,
                            Optional.of(grpc),
                            Optional.of("http://127.0.0.1:4318/v1/traces")),
                    settings);
        }

        /** Writes the files to which the settings refer. */
        private void writeReferencedFiles(byte[] secret) throws IOException {
            Files.writeString(
                    directory.resolve("keys"),
                    "7 " + Base64.getEncoder().encodeToString(secret) + "\n");
            for (String pem : List.of("certificate.pem", "key.pem", "ca.pem")) {
                Files.writeString(directory.resolve(pem), "");
            }
        }

        /**
         * Returns the expected settings, with the cursor keys and the access of clients from {@code
         * grpc}, as the test compares these separately.
         */
        private GrpcSettings grpcSettingsWithEveryField(GrpcSettings grpc) {
            Path root = directory.toAbsolutePath();
            GrpcSettings.Tls tls =
                    new GrpcSettings.Tls(
                            root.resolve("certificate.pem"),
                            root.resolve("key.pem"),
                            Optional.of(root.resolve("ca.pem")));
            return new GrpcSettings(
                    HostAndPort.fromParts("127.0.0.1", 9443),
                    grpc.cursorKeys(),
                    Optional.of(tls),
                    grpc.accessByClient(),
                    /* maxStreams= */ 100,
                    /* maxStreamsPerClient= */ 10,
                    /* maxBufferedEvents= */ 64,
                    /* maxRetainedEndedJobs= */ 500,
                    /* stallTimeoutSeconds= */ 30,
                    /* submissionsPerSecondPerTeam= */ 20);
        }

        @Test
        void emptyFileHasTheDefaults() throws IOException, InvalidSettingsException {
            OperatorSettings settings =
                    OperatorSettings.read(Files.writeString(directory.resolve("empty.txtpb"), ""));
            assertEquals(
                    new OperatorSettings(
                            /* leaderLeaseMillis= */ 3000,
                            /* grantMillis= */ 1500,
                            /* machineHoldBackoffSeconds= */ 5,
                            /* localityWaitSeconds= */ 3,
                            /* machineHoldSeconds= */ 20,
                            /* gangReservationSeconds= */ 15,
                            /* headroom= */ 0.05,
                            /* idleSeconds= */ 40,
                            /* leaseDelegation= */ false,
                            /* standby= */ false,
                            /* grpc= */ Optional.empty(),
                            /* traceCollector= */ Optional.empty()),
                    settings);
            assertEquals(OperatorSettings.DEFAULTS, settings);
        }

        @Test
        void namesOfOptionalFeaturesStayTheSame() {
            assertEquals(List.of("caretaking", "standby"), OperatorSettings.FEATURES);
        }
    }

    @Nested
    class ProtobufSchemas {
        @Test
        void operatorFileHasTheSameMessagesFieldsNumbersAndDefaults() {
            GoldenFiles.assertSameText(
                    "names/operator.proto.txt", describe(Operator.getDescriptor().getFile()));
        }

        @Test
        void grpcServiceHasTheSameMethodsMessagesFieldsAndNumbers() {
            GoldenFiles.assertSameText(
                    "names/scheduler.proto.txt", describe(Job.getDescriptor().getFile()));
        }

        private String describe(FileDescriptor file) {
            StringBuilder text = new StringBuilder("package " + file.getPackage() + "\n");
            for (ServiceDescriptor service : file.getServices()) {
                for (MethodDescriptor method : service.getMethods()) {
                    text.append("rpc ")
                            .append(method.getFullName())
                            .append('(')
                            .append(method.getInputType().getFullName())
                            .append(") returns ")
                            .append(method.isServerStreaming() ? "stream " : "")
                            .append(method.getOutputType().getFullName())
                            .append('\n');
                }
            }
            for (EnumDescriptor enumType : file.getEnumTypes()) {
                for (EnumValueDescriptor value : enumType.getValues()) {
                    text.append("enum ")
                            .append(enumType.getFullName())
                            .append(' ')
                            .append(value.getName())
                            .append(" = ")
                            .append(value.getNumber())
                            .append('\n');
                }
            }
            for (Descriptor message : file.getMessageTypes()) {
                text.append("message ").append(message.getFullName()).append('\n');
                for (FieldDescriptor field : message.getFields()) {
                    text.append("  ").append(describe(field)).append('\n');
                }
            }
            return text.toString();
        }

        private String describe(FieldDescriptor field) {
            String type =
                    switch (field.getJavaType()) {
                        case MESSAGE -> field.getMessageType().getFullName();
                        case ENUM -> field.getEnumType().getFullName();
                        default -> field.getType().name().toLowerCase(Locale.ROOT);
                    };
            String oneof =
                    field.getContainingOneof() == null
                            ? ""
                            : " in oneof " + field.getContainingOneof().getName();
            String defaultValue =
                    field.hasDefaultValue() ? " default " + field.getDefaultValue() : "";
            return (field.isRepeated() ? "repeated " : field.hasPresence() ? "optional " : "")
                    + type
                    + " "
                    + field.getName()
                    + " = "
                    + field.getNumber()
                    + defaultValue
                    + oneof;
        }
    }

    private Path copyOf(String goldenFile) throws IOException {
        return Files.writeString(directory.resolve("settings"), GoldenFiles.read(goldenFile));
    }
}
