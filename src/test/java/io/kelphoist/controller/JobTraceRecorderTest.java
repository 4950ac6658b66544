package io.kelphoist.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kelphoist.admission.AdmissionResult;
import org.junit.jupiter.api.Test;

/** The attribute of submission spans that holds the result of the submission. */
class JobTraceRecorderTest {
    /** Operators search traces by these values, so a rename of a type must not change them. */
    @Test
    void traceAttributeValuesAreStable() {
        assertEquals(
                "accepted", JobTraceRecorder.resultAttribute(new AdmissionResult.Accepted(null)));
        assertEquals("known", JobTraceRecorder.resultAttribute(new AdmissionResult.Found(null)));
        assertEquals("absent", JobTraceRecorder.resultAttribute(new AdmissionResult.NotFound()));
        assertEquals(
                "refused",
                JobTraceRecorder.resultAttribute(
                        new AdmissionResult.Rejected(/* reason= */ null, "no such team")));
        assertEquals(
                "later",
                JobTraceRecorder.resultAttribute(
                        new AdmissionResult.RetryLater(AdmissionResult.DeferralReason.BUSY, 1)));
    }
}
