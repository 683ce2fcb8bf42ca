package org.cicadahead.model;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against changes of the codes and of the not-run guarantee, on which callers rely. */
class RefusalReasonTest {

    @ParameterizedTest
    @EnumSource(RefusalReason.class)
    void codeIdentifiesTheReason(RefusalReason reason) {
        assertThat(RefusalReason.of(reason.code())).isEqualTo(reason);
        assertThat(reason.code()).matches("[a-z_]+");
    }

    @ParameterizedTest
    @EnumSource(RefusalReason.class)
    void statusIsAnError(RefusalReason reason) {
        assertThat(reason.status()).isIn(com.google.common.collect.Range.closedOpen(400, 600));
    }

    @ParameterizedTest
    @EnumSource(
            value = RefusalReason.class,
            names = {
                "KEY_REVOKED",
                "STEP_RUNNING",
                "CLAIM_RUNNING",
                "CLAIM_FENCED",
                "OUTCOME_UNKNOWN",
                "OUTCOME_UNCONFIRMED",
                "ENDPOINT_FAILED",
                "ENDPOINT_LOST",
                "ANSWER_INCOMPLETE",
                "CALLER_GONE",
                "CALLER_TOO_SLOW",
                "DEADLINE_EXCEEDED",
                "INTERNAL_ERROR"
            })
    void reasonsAfterDispatchNeverReportNotRun(RefusalReason reason) {
        assertWithMessage("%s may come after the request ran", reason)
                .that(reason.notRun())
                .isFalse();
    }
}
