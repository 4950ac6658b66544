package io.kelphoist.grpc;

import io.grpc.ServerCredentials;
import io.grpc.TlsServerCredentials;
import io.grpc.util.AdvancedTlsX509KeyManager;
import io.grpc.util.AdvancedTlsX509TrustManager;
import io.kelphoist.config.GrpcSettings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.security.GeneralSecurityException;
import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The server's certificate and the certificate authority (CA) of its clients, loaded from PEM files
 * and reloaded when a file changes. Owns the files' last modification times. Confined to the event
 * thread after the server's start.
 */
final class TlsCredentials {
    private static final Logger LOG = LoggerFactory.getLogger(TlsCredentials.class);

    /** The modification time that represents a file that is not configured. */
    private static final FileTime NO_FILE = FileTime.fromMillis(0);

    private final GrpcSettings.Tls files;
    private final AdvancedTlsX509KeyManager keyManager = new AdvancedTlsX509KeyManager();

    /** Empty if clients don't need a certificate. */
    private final Optional<AdvancedTlsX509TrustManager> trustManager;

    private List<FileTime> modificationTimes = List.of();

    private TlsCredentials(
            GrpcSettings.Tls files, Optional<AdvancedTlsX509TrustManager> trustManager) {
        this.files = files;
        this.trustManager = trustManager;
    }

    /**
     * Creates credentials from the files.
     *
     * @throws IOException if one of the files can't be read or is not a valid certificate or key
     */
    static TlsCredentials load(GrpcSettings.Tls files) throws IOException {
        try {
            TlsCredentials credentials = new TlsCredentials(files, newTrustManager(files));
            credentials.modificationTimes = credentials.readModificationTimes();
            credentials.loadFiles();
            return credentials;
        } catch (GeneralSecurityException | RuntimeException e) {
            throw new IOException(
                    "can't load TLS files, expected a certificate, its key and any client CA in PEM"
                            + " format: certificateFile="
                            + files.certificate()
                            + " keyFile="
                            + files.key()
                            + " clientCaFile="
                            + files.clientCa().orElse(null)
                            + " error="
                            + e.getMessage(),
                    e);
        }
    }

    private static Optional<AdvancedTlsX509TrustManager> newTrustManager(GrpcSettings.Tls files)
            throws GeneralSecurityException {
        if (files.clientCa().isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                AdvancedTlsX509TrustManager.newBuilder()
                        .setVerification(
                                AdvancedTlsX509TrustManager.Verification
                                        .CERTIFICATE_ONLY_VERIFICATION)
                        .build());
    }

    /** Returns the credentials of the server; {@link #reloadIfChanged} updates them. */
    ServerCredentials serverCredentials() {
        TlsServerCredentials.Builder builder =
                TlsServerCredentials.newBuilder().keyManager(keyManager);
        if (trustManager.isPresent()) {
            builder.trustManager(trustManager.get())
                    .clientAuth(TlsServerCredentials.ClientAuth.REQUIRE);
        }
        return builder.build();
    }

    private void loadFiles() throws IOException, GeneralSecurityException {
        keyManager.updateIdentityCredentials(files.certificate().toFile(), files.key().toFile());
        if (trustManager.isPresent()) {
            trustManager.get().updateTrustCredentials(files.clientCa().orElseThrow().toFile());
        }
    }

    /**
     * Reloads the files if one of them has changed. If the certificate or its key can't be loaded,
     * all previous credentials stay in use; if only the client CA can't be loaded, the previous CA
     * does. The reload is repeated when a file changes again.
     */
    void reloadIfChanged() {
        try {
            List<FileTime> currentTimes = readModificationTimes();
            if (currentTimes.equals(modificationTimes)) {
                return;
            }
            modificationTimes = currentTimes;
            loadFiles();
            LOG.info(
                    "TLS files reloaded: certificateFile={} keyFile={} clientCaFile={}",
                    files.certificate(),
                    files.key(),
                    files.clientCa().orElse(null));
        } catch (IOException | GeneralSecurityException | RuntimeException e) {
            LOG.error(
                    "reload of TLS files failed, previous credentials kept: certificateFile={}"
                            + " keyFile={} clientCaFile={} error={}",
                    files.certificate(),
                    files.key(),
                    files.clientCa().orElse(null),
                    e.getMessage());
        }
    }

    private List<FileTime> readModificationTimes() throws IOException {
        FileTime clientCaTime =
                files.clientCa().isPresent() ? modificationTime(files.clientCa().get()) : NO_FILE;
        return List.of(
                modificationTime(files.certificate()), modificationTime(files.key()), clientCaTime);
    }

    private static FileTime modificationTime(Path file) throws IOException {
        return Files.getLastModifiedTime(file);
    }
}
