package io.kelphoist.architecture;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The list of withdrawn words, which code, comments and texts must not use, and a search for them
 * in a source file.
 */
final class WithdrawnWords {
    /**
     * A withdrawn word.
     *
     * @param word the word; with a capital it is the name of a type
     * @param replacement the term to use instead
     * @param subpackage the package below io.kelphoist in which the word is withdrawn; empty for
     *     all packages
     */
    record Entry(String word, String replacement, String subpackage) {
        private boolean appliesTo(String packageName) {
            return subpackage.isEmpty() || isWithin(packageName, ROOT + "." + subpackage);
        }

        private boolean isTypeName() {
            return Character.isUpperCase(word.charAt(0));
        }

        private boolean matchesIdentifier(String identifier) {
            return isTypeName() ? identifier.equals(word) : isPartOf(identifier);
        }

        private boolean isPartOf(String name) {
            return name.equalsIgnoreCase(word)
                    || NAME_PART
                            .matcher(name)
                            .results()
                            .anyMatch(part -> part.group().equalsIgnoreCase(word));
        }
    }

    static final String ROOT = "io.kelphoist";

    private static final Pattern LINE =
            Pattern.compile(
                    "([A-Za-z][A-Za-z0-9]*) *\\| *([^| ][^|]*?)(?: *\\| *([a-z][a-z0-9.]*))? *");

    /** Comments, text blocks, string literals and character literals, and identifiers. */
    private static final Pattern TOKEN =
            Pattern.compile(
                    "(?<comment>/\\*(?s:.*?)\\*/|//[^\\n]*)"
                            + "|(?<text>\"\"\"(?s:.*?)(?<!\\\\)\"\"\"|\"[^\"\\\\\\n]*+(?:\\\\.[^\"\\\\\\n]*+)*+\")"
                            + "|(?<character>'(?:\\\\.|[^'\\\\\\n])+')"
                            + "|(?<identifier>[A-Za-z_$][A-Za-z0-9_$]*)");

    private static final Pattern WORD_IN_PROSE = Pattern.compile("[A-Za-z][A-Za-z0-9]*");

    /** A part of a name in camel case or in capitals. */
    private static final Pattern NAME_PART = Pattern.compile("[A-Z]+(?![a-z])|[A-Z]?[a-z]+|[0-9]+");

    private final List<Entry> entries;

    private WithdrawnWords(List<Entry> entries) {
        this.entries = entries;
    }

    /**
     * Parses the list.
     *
     * @param file name of the list, for errors
     * @throws IllegalArgumentException if a line is malformed or a word is listed twice; the
     *     message names the file and the line, and says how to correct it
     */
    static WithdrawnWords parse(String file, List<String> lines) {
        List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i);
            if (line.isBlank() || line.startsWith("#")) {
                continue;
            }
            String place = file + ":" + (i + 1) + ": ";
            Entry entry = parseLine(place, line);
            for (Entry earlier : entries) {
                if (overlap(earlier, entry)) {
                    throw new IllegalArgumentException(
                            place + entry.word + " is already listed; keep one of the two lines");
                }
            }
            entries.add(entry);
        }
        return new WithdrawnWords(entries);
    }

    private static Entry parseLine(String place, String line) {
        Matcher matcher = LINE.matcher(line);
        if (!matcher.matches()) {
            throw new IllegalArgumentException(
                    place
                            + "malformed: '"
                            + line
                            + "'; write 'word | use instead' or 'word | use instead | package'");
        }
        String subpackage = matcher.group(3) == null ? "" : matcher.group(3);
        return new Entry(matcher.group(1), matcher.group(2), subpackage);
    }

    private static boolean overlap(Entry one, Entry other) {
        return one.word.equals(other.word)
                && (one.subpackage.isEmpty()
                        || other.subpackage.isEmpty()
                        || isWithin(one.subpackage, other.subpackage)
                        || isWithin(other.subpackage, one.subpackage));
    }

    /** Whether a package is {@code outer} or below it. */
    static boolean isWithin(String packageName, String outer) {
        return packageName.equals(outer) || packageName.startsWith(outer + ".");
    }

    /** Returns the entries in the order of the list. */
    List<Entry> entries() {
        return entries;
    }

    /** Searches a source file. Each finding names file, line, word and replacement. */
    List<String> find(String file, String packageName, String source) {
        List<Entry> applicable =
                entries.stream().filter(entry -> entry.appliesTo(packageName)).toList();
        List<String> findings = new ArrayList<>();
        Matcher token = TOKEN.matcher(source);
        while (token.find()) {
            int line = lineAt(source, token.start());
            if (token.group("identifier") != null) {
                for (Entry entry : applicable) {
                    if (entry.matchesIdentifier(token.group())) {
                        findings.add(finding(file, line, entry, token.group()));
                    }
                }
            } else if (token.group("character") == null && isProse(token)) {
                findings.addAll(findInProse(file, line, token.group(), applicable));
            }
        }
        return findings;
    }

    private static List<String> findInProse(
            String file, int firstLine, String prose, List<Entry> applicable) {
        List<String> findings = new ArrayList<>();
        Matcher word = WORD_IN_PROSE.matcher(prose);
        while (word.find()) {
            int line = firstLine + lineAt(prose, word.start()) - 1;
            for (Entry entry : applicable) {
                if (!entry.isTypeName() && entry.isPartOf(word.group())) {
                    findings.add(finding(file, line, entry, word.group()));
                }
            }
        }
        return findings;
    }

    /** Whether a token is prose. A string without a space is a field name or a setting's name. */
    private static boolean isProse(Matcher token) {
        return token.group("comment") != null || token.group("text").strip().contains(" ");
    }

    private static int lineAt(String text, int offset) {
        return 1
                + (int)
                        text.substring(0, offset)
                                .chars()
                                .filter(character -> character == '\n')
                                .count();
    }

    private static String finding(String file, int line, Entry entry, String name) {
        return "%s:%d: withdrawn word '%s' in '%s'; use %s"
                .formatted(file, line, entry.word, name, entry.replacement);
    }
}
