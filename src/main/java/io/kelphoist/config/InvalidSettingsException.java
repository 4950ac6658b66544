package io.kelphoist.config;

/**
 * Thrown for a settings file or a command-line option that is invalid. The operator gets its
 * message.
 */
public final class InvalidSettingsException extends Exception {
    private static final long serialVersionUID = 1;

    /**
     * Creates an exception.
     *
     * @param file the file or the option
     * @param field path of the invalid field; empty if the file as a whole is invalid
     * @param reason what was found in the field and what was expected
     */
    public InvalidSettingsException(String file, String field, String reason) {
        super(file + ": " + (field.isEmpty() ? "" : field + ": ") + reason);
    }
}
