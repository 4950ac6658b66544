package io.kelphoist.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Typed access to the fields of a received message. A field that is null is treated as missing. The
 * exceptions' messages are sent to users in the responses to their requests.
 */
final class MessageFields {
    private MessageFields() {}

    static boolean has(JsonNode message, String name) {
        return message.hasNonNull(name);
    }

    static String text(JsonNode message, String name) throws MalformedMessageException {
        JsonNode value = require(message, name);
        if (!value.isTextual()) {
            throw new MalformedMessageException(name + " is not text");
        }
        return value.textValue();
    }

    static String textOr(JsonNode message, String name, String defaultValue)
            throws MalformedMessageException {
        return has(message, name) ? text(message, name) : defaultValue;
    }

    static boolean bool(JsonNode message, String name) throws MalformedMessageException {
        JsonNode value = require(message, name);
        if (!value.isBoolean()) {
            throw new MalformedMessageException(name + " is not a boolean");
        }
        return value.booleanValue();
    }

    static boolean boolOr(JsonNode message, String name, boolean defaultValue)
            throws MalformedMessageException {
        return has(message, name) ? bool(message, name) : defaultValue;
    }

    /** Returns an integer of {@code min} to {@code max}, both inclusive. */
    static long integer(JsonNode message, String name, long min, long max)
            throws MalformedMessageException {
        JsonNode value = require(message, name);
        if (!value.isIntegralNumber()
                || !value.canConvertToLong()
                || value.longValue() < min
                || value.longValue() > max) {
            throw new MalformedMessageException(
                    name + " is not an integer of " + min + " to " + max);
        }
        return value.longValue();
    }

    /** Returns a finite number of zero or more. */
    static double nonNegative(JsonNode message, String name) throws MalformedMessageException {
        JsonNode value = require(message, name);
        double number = value.isNumber() ? value.doubleValue() : Double.NaN;
        if (!Double.isFinite(number) || number < 0) {
            throw new MalformedMessageException(name + " is not an amount");
        }
        return number;
    }

    static double nonNegativeOr(JsonNode message, String name, double defaultValue)
            throws MalformedMessageException {
        return has(message, name) ? nonNegative(message, name) : defaultValue;
    }

    /** Returns a finite number of zero or more; null if the field is missing. */
    static Double nonNegativeOrNull(JsonNode message, String name)
            throws MalformedMessageException {
        return has(message, name) ? Double.valueOf(nonNegative(message, name)) : null;
    }

    static List<JsonNode> list(JsonNode message, String name) throws MalformedMessageException {
        JsonNode value = require(message, name);
        if (!value.isArray()) {
            throw new MalformedMessageException(name + " is not a list");
        }
        List<JsonNode> list = new ArrayList<>(value.size());
        value.forEach(list::add);
        return list;
    }

    static List<String> texts(JsonNode message, String name) throws MalformedMessageException {
        List<String> texts = new ArrayList<>();
        for (JsonNode value : list(message, name)) {
            if (!value.isTextual()) {
                throw new MalformedMessageException(name + " holds something that is not text");
            }
            texts.add(value.textValue());
        }
        return texts;
    }

    private static JsonNode require(JsonNode message, String name)
            throws MalformedMessageException {
        JsonNode value = message.get(name);
        if (value == null || value.isNull()) {
            throw new MalformedMessageException(name + " is missing");
        }
        return value;
    }
}
