package io.kelphoist.scheduler;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * One line of a scenario: a command and its words. Each word can also be read as an option, which
 * is {@code name=value} or a name alone. The line records which of its words were read, so that a
 * misspelled option is an error instead of an unnoticed default value.
 */
final class ScenarioLine {
    private final String text;
    private final List<String> words;
    private final Map<String, Integer> indexByOption = new HashMap<>();
    private final BitSet readWords = new BitSet();

    ScenarioLine(String text) {
        this.text = text;
        words = List.of(text.split("\\s+", -1));
        for (int index = 0; index < words.size(); index++) {
            indexByOption.put(words.get(index).split("=", 2)[0], index);
        }
    }

    String text() {
        return text;
    }

    String command() {
        return word(0);
    }

    int size() {
        return words.size();
    }

    String word(int index) {
        readWords.set(index);
        return words.get(index);
    }

    int intAt(int index) {
        return Integer.parseInt(word(index));
    }

    long longAt(int index) {
        return Long.parseLong(word(index));
    }

    double doubleAt(int index) {
        return Double.parseDouble(word(index));
    }

    boolean booleanAt(int index) {
        return isFirstOf(index, "true", "false");
    }

    /** Whether a word is the first of two alternatives; throws an exception if it is neither. */
    boolean isFirstOf(int index, String first, String second) {
        String word = word(index);
        if (!word.equals(first) && !word.equals(second)) {
            throw new IllegalArgumentException(
                    "word " + index + " is '" + word + "', expected " + first + " or " + second);
        }
        return word.equals(first);
    }

    List<String> wordsFrom(int index) {
        readWords.set(index, words.size());
        return words.subList(index, words.size());
    }

    List<String> wordsThat(Predicate<String> condition) {
        List<String> found = new ArrayList<>();
        for (int index = 0; index < words.size(); index++) {
            if (condition.test(words.get(index))) {
                found.add(word(index));
            }
        }
        return found;
    }

    String textFrom(int index) {
        return String.join(" ", wordsFrom(index));
    }

    boolean has(String option) {
        Integer index = indexByOption.get(option);
        if (index == null) {
            return false;
        }
        readWords.set(index);
        return true;
    }

    /** Returns the value of an option as {@link #option(String, String)}; null by default. */
    String option(String name) {
        return option(name, null);
    }

    /**
     * Returns the value of an option: empty if it is a name alone, {@code defaultValue} if the line
     * does not have the option.
     */
    String option(String name, String defaultValue) {
        if (!has(name)) {
            return defaultValue;
        }
        String word = word(indexByOption.get(name));
        return word.substring(Math.min(word.length(), name.length() + 1));
    }

    double number(String name, double defaultValue) {
        return has(name) ? Double.parseDouble(option(name)) : defaultValue;
    }

    /** Returns the comma-separated values of an option, which the line must have. */
    List<String> list(String name) {
        return List.of(option(name).split(",", -1));
    }

    /** Returns the words that were not read: options that the command does not support. */
    List<String> unreadWords() {
        List<String> unread = new ArrayList<>();
        for (int index = 0; index < words.size(); index++) {
            if (!readWords.get(index)) {
                unread.add(words.get(index));
            }
        }
        return unread;
    }
}
