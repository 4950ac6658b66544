package io.kelphoist.logs;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.event.KeyValuePair;

/**
 * Console appender that adds arguments of a log event as key-value pairs, so that the JSON encoder
 * writes them as fields. An argument becomes a field if the log message has its placeholder as
 * {@code job={}}, {@code task={}}, {@code attempt={}}, {@code machine={}} or {@code term={}}, or in
 * prose as "machine {}", "job {}", "term {}", "attempt {}" or "task {}/{}" (a job and its task,
 * which may be followed by "on {}" for the machine). All other arguments are only part of the text.
 *
 * <p>Has no state besides that of its superclass. Called on any thread that logs.
 */
public final class JsonFieldsAppender extends ConsoleAppender<ILoggingEvent> {
    private static final String PLACEHOLDER = "{}";
    private static final String TASK_FIELD = "task";
    private static final List<String> FIELD_NAMES = List.of("machine", "job", "term", "attempt");

    @Override
    protected void append(ILoggingEvent event) {
        if (event instanceof LoggingEvent loggingEvent && event.getArgumentArray() != null) {
            extractFields(event.getMessage(), event.getArgumentArray())
                    .forEach(loggingEvent::addKeyValuePair);
        }
        super.append(event);
    }

    /** Returns a field for each argument whose placeholder has a name in the template. */
    static List<KeyValuePair> extractFields(String template, Object[] arguments) {
        List<KeyValuePair> fields = new ArrayList<>();
        int placeholderIndex = template.indexOf(PLACEHOLDER);
        for (int i = 0; i < arguments.length && placeholderIndex >= 0; i++) {
            String name = fieldName(template, template.substring(0, placeholderIndex));
            if (name != null) {
                fields.add(new KeyValuePair(name, arguments[i]));
            }
            placeholderIndex =
                    template.indexOf(PLACEHOLDER, placeholderIndex + PLACEHOLDER.length());
        }
        return fields;
    }

    /**
     * Returns the name of a placeholder's field; null if it has none.
     *
     * @param textBefore the template up to the placeholder
     */
    private static String fieldName(String template, String textBefore) {
        if (textBefore.endsWith(TASK_FIELD + " ")) {
            return "job";
        }
        if (textBefore.endsWith(TASK_FIELD + " {}/") || textBefore.endsWith(TASK_FIELD + "=")) {
            return TASK_FIELD;
        }
        if (textBefore.endsWith(" on ") && template.startsWith(TASK_FIELD)) {
            return "machine";
        }
        for (String name : FIELD_NAMES) {
            if (textBefore.endsWith(name + " ") || textBefore.endsWith(name + "=")) {
                return name;
            }
        }
        return null;
    }
}
