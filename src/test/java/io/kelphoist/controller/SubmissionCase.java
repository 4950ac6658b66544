package io.kelphoist.controller;

import io.kelphoist.model.JobKind;
import io.kelphoist.model.JobSpec;
import io.kelphoist.model.Priority;
import io.kelphoist.model.Resources;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A submission and its expected result: one line of submissions.txt.
 *
 * @param number position among the cases, from 1
 * @param name name of the case, by which later cases refer to its job
 * @param differences fields in which the job differs from a valid array of two tasks
 * @param expected the outcome with which the result must begin: created, known, malformed,
 *     impossible or later. {@link GrpcSubmissionTest} builds the result from the response: the
 *     outcome, followed by the error message or the delay of a retry
 * @param reason text that the result must contain; empty if any error message is accepted
 */
record SubmissionCase(int number, String name, String differences, String expected, String reason) {
    /** Reads all cases, in the order of the file. */
    static List<SubmissionCase> readAll() throws IOException {
        List<String> lines =
                new String(
                                SubmissionCase.class
                                        .getResourceAsStream("/submissions.txt")
                                        .readAllBytes(),
                                StandardCharsets.UTF_8)
                        .lines()
                        .filter(line -> !line.isBlank() && !line.startsWith("#"))
                        .toList();
        List<SubmissionCase> cases = new ArrayList<>();
        for (String line : lines) {
            String[] columns = line.split("\\|", -1);
            cases.add(
                    new SubmissionCase(
                            cases.size() + 1,
                            columns[0].trim(),
                            columns[1].trim(),
                            columns[2].trim(),
                            columns.length < 4 ? "" : columns[3].trim()));
        }
        return cases;
    }

    /** Whether the job has the id of the last job that was created. */
    boolean isResubmission() {
        return differences.contains("same");
    }

    /** Whether the state store is unavailable during the submission. */
    boolean isStateStoreUnavailable() {
        return differences.contains("down");
    }

    /**
     * Returns the id of the case's own job: a prefix, 1 for HTTP or 2 for gRPC, a 0, and the case's
     * number. Each case thus submits a different job to each of the two APIs.
     *
     * @param api 0 for HTTP, 1 for gRPC
     */
    String newJobId(int api) {
        // The emulated worker ends the tasks of all jobs except job-9*, but a service never ends.
        String prefix = differences.contains("kind=SERVICE") ? "job-9" : "job-";
        return prefix + (api + 1) + "0" + number;
    }

    /**
     * Returns the job to submit.
     *
     * @param api 0 for HTTP, 1 for gRPC
     * @param lastCreated name of the last case whose job was created
     * @param jobIds ids of the jobs of earlier cases, by the case's name followed by {@code api}
     */
    JobSpec toJobSpec(int api, String lastCreated, Map<String, String> jobIds) {
        String ownId = newJobId(api);
        SpecBuilder builder = new SpecBuilder();
        builder.id = isResubmission() ? jobIds.get(lastCreated + api) : ownId;
        for (String word : differences.split("\\s+", -1)) {
            String value = word.substring(word.indexOf('=') + 1);
            if (word.startsWith("needs=")) {
                // The value is "self", the name of an earlier case, or the id of a job.
                String otherId = jobIds.getOrDefault(value + api, value);
                builder.dependencies = List.of(value.equals("self") ? ownId : otherId);
            } else {
                builder.set(word.split("=", -1)[0], value);
            }
        }
        return builder.build();
    }

    /** Builds a job from a valid array of two tasks and the fields that are set. */
    private static final class SpecBuilder {
        private String id;
        private String team = "t";
        private String zone;
        private String image = "i";
        private JobKind kind = JobKind.ARRAY;
        private int tasks = 2;
        private double cpus = 1;
        private double gpus = 1;
        private double memoryGb = 1;
        private boolean singleZone;
        private boolean spreadAcrossZones;
        private Set<String> machineTypes;
        private List<String> dependencies = List.of();

        /**
         * Sets a field by its name in submissions.txt. Ignores all other words: {@code same} and
         * {@code down}, but also misspelled names.
         */
        void set(String field, String value) {
            switch (field) {
                case "id" -> id = value;
                case "team" -> team = value;
                case "zone" -> zone = value;
                case "kind" -> kind = JobKind.valueOf(value);
                case "tasks" -> tasks = Integer.parseInt(value);
                case "cpus" -> cpus = Double.parseDouble(value);
                case "gpus" -> gpus = Double.parseDouble(value);
                case "memory" -> memoryGb = Double.parseDouble(value);
                // The value is the length of the image's name.
                case "image" -> image = "i".repeat(Integer.parseInt(value));
                case "type" -> machineTypes = Set.of(value);
                case "one_zone" -> singleZone = true;
                case "spread" -> spreadAcrossZones = true;
                default -> {}
            }
        }

        JobSpec build() {
            return new JobSpec(
                    id,
                    "c",
                    team,
                    kind,
                    Priority.NORMAL,
                    tasks,
                    new Resources(cpus, gpus, memoryGb),
                    machineTypes,
                    zone,
                    singleZone,
                    spreadAcrossZones,
                    /* spotAllowed= */ true,
                    image,
                    /* imageSizeGb= */ 1,
                    /* estimatedSeconds= */ 1,
                    /* checkpointIntervalSeconds= */ 0,
                    /* checkpointSaveSeconds= */ 0,
                    /* deadlineSeconds= */ null,
                    dependencies);
        }
    }
}
