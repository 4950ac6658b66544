package io.kelphoist.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

/**
 * Reads the keys that sign cursors from a file. Each line has the id of a key and its secret in
 * base64. Blank lines and lines that begin with # are ignored.
 */
final class CursorKeyFile {
    /** A shorter secret could be guessed. */
    private static final int MIN_SECRET_BYTES = 16;

    private static final int MAX_KEY_ID = 255;
    private static final int MAX_KEYS = 2;

    private CursorKeyFile() {}

    /**
     * Reads a key file.
     *
     * @param settingsFile the settings file that names the key file, for errors
     * @throws InvalidSettingsException if the file can't be read, a line is not a key, or the
     *     number of keys is not 1 or 2
     */
    static List<GrpcSettings.CursorKey> read(Path settingsFile, Path keyFile)
            throws InvalidSettingsException {
        List<GrpcSettings.CursorKey> keys = new ArrayList<>();
        int lineNumber = 0;
        try {
            for (String line : Files.readAllLines(keyFile)) {
                lineNumber++;
                if (!line.isBlank() && !line.startsWith("#")) {
                    keys.add(parse(line, keys));
                }
            }
        } catch (IOException | IllegalArgumentException e) {
            throw invalid(
                    settingsFile,
                    keyFile.getFileName()
                            + " line "
                            + lineNumber
                            + " is not a cursor key: expected an id (0 to 255, each once) and a"
                            + " secret of "
                            + MIN_SECRET_BYTES
                            + " bytes or more in base64");
        }
        if (keys.isEmpty() || keys.size() > MAX_KEYS) {
            throw invalid(
                    settingsFile,
                    keyFile.getFileName() + " has " + keys.size() + " keys, expected 1 or 2");
        }
        return List.copyOf(keys);
    }

    /**
     * Parses a line.
     *
     * @throws IllegalArgumentException if the line is not a key, or its id is that of another key
     */
    private static GrpcSettings.CursorKey parse(String line, List<GrpcSettings.CursorKey> others) {
        String[] words = line.trim().split("\\s+", -1);
        int id = Integer.parseInt(words[0]);
        byte[] secret = Base64.getDecoder().decode(words.length == 2 ? words[1] : "");
        if (id < 0
                || id > MAX_KEY_ID
                || secret.length < MIN_SECRET_BYTES
                || others.stream().anyMatch(key -> key.id() == id)) {
            throw new IllegalArgumentException("invalid id or secret of a cursor key");
        }
        return new GrpcSettings.CursorKey(id, secret);
    }

    private static InvalidSettingsException invalid(Path settingsFile, String reason) {
        return new InvalidSettingsException(settingsFile.toString(), "grpc.cursor_keys", reason);
    }
}
