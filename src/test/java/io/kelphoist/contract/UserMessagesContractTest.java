package io.kelphoist.contract;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kelphoist.model.JobSpec;
import io.kelphoist.model.Priority;
import io.kelphoist.wire.JobCodec;
import io.kelphoist.wire.MalformedMessageException;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * The encoding of job specs as users submit them, in every combination of kind and priority that it
 * distinguishes. Guards against a change after which submissions of existing users are rejected or
 * read differently.
 */
class UserMessagesContractTest {
    static Stream<Arguments> jobs() {
        return Stream.of(
                Arguments.of("user/job-every-field", SampleJobs.gangWithEveryField()),
                Arguments.of(
                        "user/job-without-optional-fields",
                        SampleJobs.arrayWithoutOptionalFields()),
                Arguments.of(
                        "user/job-service-production", SampleJobs.service(Priority.PRODUCTION)),
                Arguments.of("user/job-service-normal", SampleJobs.service(Priority.NORMAL)));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("jobs")
    void jobSpecIsDecodedAndEncodedAgain(String name, JobSpec job)
            throws MalformedMessageException {
        // The encoding stays the same.
        GoldenFiles.assertCborMessage(name, JobCodec.encodeJob(job));
        // when
        JobSpec decoded = JobCodec.decodeJob(GoldenFiles.storedCborMessage(name));
        // then
        assertEquals(job, decoded);
        GoldenFiles.assertCborMessage(name, JobCodec.encodeJob(decoded));
    }

    @Test
    void responseToASubmissionIsEncoded() {
        GoldenFiles.assertCborMessage(
                "user/accepted", JobCodec.encodeAccepted("job-000412", "queued"));
    }
}
