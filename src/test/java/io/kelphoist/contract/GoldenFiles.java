package io.kelphoist.contract;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.fail;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.util.DefaultIndenter;
import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.wire.MalformedMessageException;
import io.kelphoist.wire.MessageEncoding;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;

/**
 * Compares messages and texts with the golden files of the external contract, in {@code
 * src/test/resources/contract}.
 *
 * <p>A message has two files: {@code NAME.json} has its fields in the order in which they are
 * encoded, and {@code NAME.hex} has the encoded bytes. With {@code -Dcontract.write=true}, files
 * are written instead of compared; otherwise a missing file is a failure.
 */
final class GoldenFiles {
    private static final Path ROOT = Path.of("src", "test", "resources", "contract");
    private static final boolean WRITE_FILES = Boolean.getBoolean("contract.write");
    private static final int HEX_DIGITS_PER_LINE = 64;
    private static final ObjectMapper JSON = new ObjectMapper();

    private GoldenFiles() {}

    /**
     * Asserts that an encoded CBOR message has exactly the fields and bytes of its golden files.
     */
    static void assertCborMessage(String name, byte[] encoded) {
        assertSameText(name + ".json", prettyPrint(decodeCbor(name, encoded)));
        assertSameText(name + ".hex", hex(encoded));
    }

    static void assertCborMessage(String name, ObjectNode message) {
        assertCborMessage(name, MessageEncoding.encodeCbor(message));
    }

    /** Asserts that an encoded JSON message has exactly the bytes of its golden files. */
    static void assertJsonMessage(String name, ObjectNode message) {
        byte[] encoded = MessageEncoding.encodeJson(message);
        assertSameText(name + ".json", prettyPrint(message));
        assertSameText(name + ".hex", hex(encoded));
    }

    /**
     * Reads a message that another program sends. Its {@code .json} file is written by hand; its
     * {@code .hex} file has the same message as CBOR.
     */
    static ObjectNode receivedCborMessage(String name) {
        ObjectNode message = readJson(name);
        assertSameText(name + ".hex", hex(MessageEncoding.encodeCbor(message)));
        return decodeCbor(name, bytes(name));
    }

    /** Reads a message between controllers from the bytes of its golden file. */
    static ObjectNode storedJsonMessage(String name) {
        try {
            return MessageEncoding.decodeJson(bytes(name));
        } catch (MalformedMessageException e) {
            return fail("expected valid JSON in " + name + ".hex: " + e.getMessage(), e);
        }
    }

    /** Reads a CBOR message from the bytes of its golden file. */
    static ObjectNode storedCborMessage(String name) {
        return decodeCbor(name, bytes(name));
    }

    /** Returns the bytes of a message's {@code .hex} file. */
    static byte[] bytes(String name) {
        return HexFormat.of().parseHex(read(name + ".hex").replace("\n", ""));
    }

    /** Returns bytes in the format of a {@code .hex} file. */
    static String hex(byte[] bytes) {
        String digits = HexFormat.of().formatHex(bytes);
        StringBuilder lines = new StringBuilder();
        for (int start = 0; start < digits.length(); start += HEX_DIGITS_PER_LINE) {
            lines.append(digits, start, Math.min(digits.length(), start + HEX_DIGITS_PER_LINE))
                    .append('\n');
        }
        return lines.toString();
    }

    /**
     * Asserts that a text equals its golden file. The assertion message has the file and the first
     * line that differs.
     */
    static void assertSameText(String file, String actual) {
        Path path = ROOT.resolve(file);
        if (WRITE_FILES) {
            write(path, actual);
            return;
        }
        String expected = read(file);
        if (!expected.equals(actual)) {
            assertEquals(
                    expected,
                    actual,
                    "contract/" + file + " differs at " + firstDifference(expected, actual));
        }
    }

    /** Returns the text of a golden file; fails the test if the file is missing. */
    static String read(String file) {
        Path path = ROOT.resolve(file);
        if (!Files.isRegularFile(path)) {
            return fail(
                    "expected the golden file contract/"
                            + file
                            + ", which is missing; -Dcontract.write=true writes it");
        }
        try {
            return Files.readString(path);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static ObjectNode readJson(String name) {
        return parseJson(name + ".json", read(name + ".json"));
    }

    static ObjectNode parseJson(String source, String json) {
        try {
            return MessageEncoding.decodeJson(json.getBytes(StandardCharsets.UTF_8));
        } catch (MalformedMessageException e) {
            return fail("expected valid JSON in " + source + ": " + e.getMessage(), e);
        }
    }

    private static ObjectNode decodeCbor(String name, byte[] encoded) {
        try {
            return MessageEncoding.decodeCbor(encoded);
        } catch (MalformedMessageException e) {
            return fail("expected valid CBOR in " + name + ": " + e.getMessage(), e);
        }
    }

    private static String prettyPrint(JsonNode message) {
        DefaultIndenter indenter = new DefaultIndenter("  ", "\n");
        DefaultPrettyPrinter printer =
                new DefaultPrettyPrinter().withObjectIndenter(indenter).withArrayIndenter(indenter);
        try {
            return JSON.writer(printer).writeValueAsString(message) + "\n";
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void write(Path path, String text) {
        try {
            Files.createDirectories(path.getParent());
            Files.writeString(path, text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String firstDifference(String expected, String actual) {
        String[] expectedLines = expected.split("\n", -1);
        String[] actualLines = actual.split("\n", -1);
        int line = 0;
        while (line < Math.min(expectedLines.length, actualLines.length)
                && expectedLines[line].equals(actualLines[line])) {
            line++;
        }
        return "line "
                + (line + 1)
                + ": expected <"
                + lineOrEnd(expectedLines, line)
                + "> but was <"
                + lineOrEnd(actualLines, line)
                + ">";
    }

    private static String lineOrEnd(String[] lines, int line) {
        return line < lines.length ? lines[line] : "end of file";
    }
}
