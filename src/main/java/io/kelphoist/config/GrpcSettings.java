package io.kelphoist.config;

import com.google.common.net.HostAndPort;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Settings of the gRPC server, which accepts submissions and streams job events.
 *
 * @param listenAddress host and port on which the server listens
 * @param cursorKeys the first key signs cursors, and each of them verifies cursors
 * @param tls empty: no TLS, which is allowed only on loopback
 * @param accessByClient teams that a client may act for, by the common name of its certificate;
 *     other clients have no access. Empty: every client has access to everything
 * @param maxStreams bound on the open event streams of a controller
 * @param maxStreamsPerClient bound on the open event streams of one client
 * @param maxBufferedEvents bound on the transient events that wait for one stream; above it, only
 *     the latest one of each job is kept, and the stream is ended if these are more than half of
 *     the bound
 * @param maxRetainedEndedJobs number of ended jobs whose events are kept for clients that resume a
 *     stream
 * @param stallTimeoutSeconds a stream is ended if, for this long, its client reads too slowly for
 *     the server to send it a further event
 * @param submissionsPerSecondPerTeam rate limit of each team's submissions
 */
public record GrpcSettings(
        HostAndPort listenAddress,
        List<CursorKey> cursorKeys,
        Optional<Tls> tls,
        Map<String, TeamAccess> accessByClient,
        int maxStreams,
        int maxStreamsPerClient,
        int maxBufferedEvents,
        int maxRetainedEndedJobs,
        double stallTimeoutSeconds,
        double submissionsPerSecondPerTeam) {
    /** Returns a builder of settings without TLS. All limits are 0 until they are set. */
    public static Builder builder(HostAndPort listenAddress, List<CursorKey> cursorKeys) {
        return new Builder(listenAddress, cursorKeys);
    }

    /** Builds settings by a method for each value. */
    public static final class Builder {
        private final HostAndPort listenAddress;
        private final List<CursorKey> cursorKeys;
        private Optional<Tls> tls = Optional.empty();
        private Map<String, TeamAccess> accessByClient = Map.of();
        private int maxStreams;
        private int maxStreamsPerClient;
        private int maxBufferedEvents;
        private int maxRetainedEndedJobs;
        private double stallTimeoutSeconds;
        private double submissionsPerSecondPerTeam;

        private Builder(HostAndPort listenAddress, List<CursorKey> cursorKeys) {
            this.listenAddress = listenAddress;
            this.cursorKeys = cursorKeys;
        }

        /** Sets {@link GrpcSettings#tls}. */
        public Builder tls(Optional<Tls> value) {
            tls = value;
            return this;
        }

        /** Sets {@link GrpcSettings#accessByClient}. */
        public Builder accessByClient(Map<String, TeamAccess> value) {
            accessByClient = value;
            return this;
        }

        /** Sets {@link GrpcSettings#maxStreams}. */
        public Builder maxStreams(int value) {
            maxStreams = value;
            return this;
        }

        /** Sets {@link GrpcSettings#maxStreamsPerClient}. */
        public Builder maxStreamsPerClient(int value) {
            maxStreamsPerClient = value;
            return this;
        }

        /** Sets {@link GrpcSettings#maxBufferedEvents}. */
        public Builder maxBufferedEvents(int value) {
            maxBufferedEvents = value;
            return this;
        }

        /** Sets {@link GrpcSettings#maxRetainedEndedJobs}. */
        public Builder maxRetainedEndedJobs(int value) {
            maxRetainedEndedJobs = value;
            return this;
        }

        /** Sets {@link GrpcSettings#stallTimeoutSeconds}. */
        public Builder stallTimeoutSeconds(double value) {
            stallTimeoutSeconds = value;
            return this;
        }

        /** Sets {@link GrpcSettings#submissionsPerSecondPerTeam}. */
        public Builder submissionsPerSecondPerTeam(double value) {
            submissionsPerSecondPerTeam = value;
            return this;
        }

        /** Returns the settings. */
        public GrpcSettings build() {
            return new GrpcSettings(
                    listenAddress,
                    cursorKeys,
                    tls,
                    accessByClient,
                    maxStreams,
                    maxStreamsPerClient,
                    maxBufferedEvents,
                    maxRetainedEndedJobs,
                    stallTimeoutSeconds,
                    submissionsPerSecondPerTeam);
        }
    }

    /** A key that signs and verifies cursors. */
    public static final class CursorKey {
        private final int id;
        private final byte[] secret;

        /**
         * Creates a key.
         *
         * @param id number of the key, 0 to 255
         */
        public CursorKey(int id, byte[] secret) {
            this.id = id;
            this.secret = secret.clone();
        }

        /** Returns the id of the key, which a cursor contains. */
        public int id() {
            return id;
        }

        /** Returns a copy of the secret. */
        public byte[] secret() {
            return secret.clone();
        }
    }

    /**
     * Files in PEM format for TLS.
     *
     * @param certificate the server's certificate
     * @param key the private key of the certificate
     * @param clientCa authorities of client certificates; empty: clients need no certificate
     */
    public record Tls(Path certificate, Path key, Optional<Path> clientCa) {}
}
