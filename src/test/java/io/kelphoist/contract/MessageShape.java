package io.kelphoist.contract;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;

/**
 * Describes the names and types of the fields of messages whose values depend on timing. Each field
 * has a line such as {@code care.life integer}.
 */
final class MessageShape {
    private MessageShape() {}

    static String of(Collection<? extends JsonNode> messages) {
        Set<String> lines = new TreeSet<>();
        messages.forEach(message -> add("", message, lines));
        return String.join("\n", lines) + "\n";
    }

    private static void add(String path, JsonNode node, Set<String> lines) {
        if (node.isObject() && !path.isEmpty() && node.isEmpty()) {
            lines.add(path + " map");
        } else if (node.isObject()) {
            node.properties()
                    .forEach(
                            field ->
                                    add(
                                            path
                                                    + (path.isEmpty() ? "" : ".")
                                                    + normalize(field.getKey()),
                                            field.getValue(),
                                            lines));
        } else if (node.isArray()) {
            lines.add(path + " list");
            node.forEach(element -> add(path + "[]", element, lines));
        } else {
            lines.add(
                    path
                            + " "
                            + (node.isIntegralNumber()
                                    ? "integer"
                                    : node.getNodeType().name().toLowerCase(Locale.ROOT)));
        }
    }

    /** Replaces field names that are numbers or job ids, which vary, by a placeholder. */
    private static String normalize(String fieldName) {
        return fieldName.matches("[0-9]+")
                ? "NUMBER"
                : fieldName.matches("job-[0-9]+") ? "JOB" : fieldName;
    }
}
