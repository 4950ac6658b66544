package io.kelphoist.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * One object of a settings file in JSON. It has its path in the file, so that errors name the
 * invalid field. A field whose value is null is treated as missing.
 *
 * @param file the file, for errors
 * @param path path of this object with a dot at the end; empty for the file as a whole
 */
record JsonSettings(String file, String path, JsonNode node) {
    /**
     * Reads a file that contains one object.
     *
     * @throws InvalidSettingsException if the file can't be read or does not contain an object
     */
    static JsonSettings read(Path file) throws InvalidSettingsException {
        JsonNode root;
        try {
            root = new ObjectMapper().readTree(Files.readAllBytes(file));
        } catch (JsonProcessingException e) {
            String position =
                    e.getLocation() == null
                            ? "an unknown line"
                            : "line " + e.getLocation().getLineNr();
            throw new InvalidSettingsException(file.toString(), "", "not JSON at " + position);
        } catch (IOException e) {
            throw new InvalidSettingsException(file.toString(), "", "can't be read: " + e);
        }
        if (root == null || !root.isObject()) {
            throw new InvalidSettingsException(
                    file.toString(), "", "not a map: expected a JSON object");
        }
        return new JsonSettings(file.toString(), "", root);
    }

    /** Returns whether there is a field with this name. */
    boolean has(String name) {
        return node.hasNonNull(name);
    }

    /** Returns whether the object in the field {@code objectName} has a field {@code name}. */
    boolean has(String objectName, String name) {
        return node.path(objectName).hasNonNull(name);
    }

    /**
     * Returns a text, or an empty one if the field is missing. Values of other types are not
     * rejected: a number or boolean is returned as text, an object or list as an empty text.
     */
    String textOrEmpty(String name) {
        return node.path(name).asText("");
    }

    /** Returns a text, which must not be empty. */
    String text(String name) throws InvalidSettingsException {
        JsonNode value = require(name);
        if (!value.isTextual() || value.textValue().isEmpty()) {
            throw invalid(name, "is not text: expected a non-empty string, found " + value);
        }
        return value.textValue();
    }

    /** Returns an address of the form host:port, unchanged. */
    String address(String name) throws InvalidSettingsException {
        String value = text(name);
        if (!isAddress(value)) {
            throw invalid(name, "'" + value + "' is not host:port");
        }
        return value;
    }

    private static boolean isAddress(String value) {
        try {
            return HostAndPort.fromString(value).hasPort();
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    /** Returns a finite number of zero or more; 0 if it is missing. */
    double nonNegative(String name) throws InvalidSettingsException {
        if (!has(name)) {
            return 0;
        }
        JsonNode value = node.get(name);
        double number = value.isNumber() ? value.doubleValue() : Double.NaN;
        if (!Double.isFinite(number) || number < 0) {
            throw invalid(
                    name, "is not an amount: expected a number of at least 0, found " + value);
        }
        return number;
    }

    /** Returns a finite number above zero. */
    double positive(String name) throws InvalidSettingsException {
        require(name);
        double number = nonNegative(name);
        if (number <= 0) {
            throw invalid(name, "is not positive: expected a number above 0, found " + number);
        }
        return number;
    }

    /** Returns the object in a field. */
    JsonSettings object(String name) throws InvalidSettingsException {
        JsonNode value = require(name);
        if (!value.isObject()) {
            throw invalid(name, "is not a map: expected a JSON object, found " + value);
        }
        return new JsonSettings(file, path + name + ".", value);
    }

    /** Returns the elements of a list, each with its index in its path. */
    List<JsonSettings> list(String name) throws InvalidSettingsException {
        JsonNode value = requireList(name);
        List<JsonSettings> elements = new ArrayList<>(value.size());
        for (int i = 0; i < value.size(); i++) {
            elements.add(new JsonSettings(file, path + name + "[" + i + "].", value.get(i)));
        }
        return elements;
    }

    /** Returns the elements of a list of texts. */
    List<String> texts(String name) throws InvalidSettingsException {
        JsonNode value = requireList(name);
        List<String> texts = new ArrayList<>(value.size());
        for (JsonNode element : value) {
            if (!element.isTextual()) {
                throw invalid(
                        name,
                        "holds something that is not text: expected only strings, found "
                                + element);
            }
            texts.add(element.textValue());
        }
        return texts;
    }

    /** Returns the exception for an invalid field of this object. */
    InvalidSettingsException invalid(String name, String reason) {
        return new InvalidSettingsException(file, path + name, reason);
    }

    private JsonNode requireList(String name) throws InvalidSettingsException {
        JsonNode value = require(name);
        if (!value.isArray()) {
            throw invalid(name, "is not a list: expected a JSON array, found " + value);
        }
        return value;
    }

    private JsonNode require(String name) throws InvalidSettingsException {
        if (!has(name)) {
            throw invalid(name, "is missing");
        }
        return node.get(name);
    }
}
