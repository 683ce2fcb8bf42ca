package org.cicadahead.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.cicadahead.fleet.CrashEvidence;
import org.cicadahead.model.RequestFingerprint;
import org.junit.jupiter.api.Test;

/** Guards against requests that crash endpoints without end, and against the quarantine of those that do not. */
class CrashTableTest {
    private static final long NOW = 1_000_000;
    private static final RequestFingerprint POISON = fingerprint("/poison");

    private final CrashTable table = CrashTable.create();

    private static RequestFingerprint fingerprint(String target) {
        return RequestFingerprint.of("o", "GET", target, new byte[0]);
    }

    private static CrashEvidence crash(String incarnation) {
        return new CrashEvidence(POISON, incarnation, false, 0);
    }

    private boolean isQuarantined(long nowMillis) {
        return table.quarantineMillis(POISON, nowMillis).isPresent();
    }

    /** One endpoint that loses its connections again and again is no evidence against the request. */
    @Test
    void needsThreeIncarnations() {
        table.add(crash("a@1"), NOW);
        assertThat(table.add(crash("a@1"), NOW)).isFalse();
        table.add(crash("a@2"), NOW);
        assertThat(isQuarantined(NOW)).isFalse();
        table.add(crash("b@1"), NOW);
        assertThat(isQuarantined(NOW)).isTrue();
        assertThat(table.quarantineMillis(fingerprint("/other"), NOW).isPresent())
                .isFalse();
    }

    /** A request that was running when another one crashed its endpoints must not be refused once it is answered. */
    @Test
    void anAnswerRefutesTheCrashesBefore() {
        List.of("a@1", "b@1").forEach(each -> table.add(crash(each), NOW));
        assertThat(table.refute(POISON, NOW)).hasSize(2);
        assertThat(table.refute(POISON, NOW)).isEmpty();
        table.add(crash("c@1"), NOW);
        table.add(crash("a@1"), NOW);
        assertThat(isQuarantined(NOW)).isFalse();
        table.add(crash("a@2"), NOW);
        table.add(crash("b@2"), NOW);
        assertThat(isQuarantined(NOW)).isTrue();
    }

    /** A refutation must reach other tables also if the crash was long ago, or only they would refuse the request. */
    @Test
    void aLateRefutationIsMerged() {
        List.of("a@1", "b@1", "c@1").forEach(each -> table.add(crash(each), NOW));
        long ageMillis = CrashTable.REFUTED_RETENTION_MILLIS + 1;
        assertThat(isQuarantined(NOW + ageMillis)).isTrue();
        assertThat(table.add(new CrashEvidence(POISON, "a@1", true, ageMillis), NOW + ageMillis))
                .isTrue();
        assertThat(isQuarantined(NOW + ageMillis)).isFalse();
    }

    /** The answer to a request that has the summary of a suspect, but another organisation, concerns no suspect. */
    @Test
    void anAnswerToAnotherRequestWithTheSameSummaryRefutesNothing() {
        RequestFingerprint other = RequestFingerprint.of("p", "GET", "/poison", new byte[0]);
        List.of("a@1", "b@1", "c@1").forEach(each -> table.add(crash(each), NOW));
        assertThat(table.mayHold(other.summary())).isTrue();
        assertThat(table.refute(other, NOW)).isEmpty();
        assertThat(isQuarantined(NOW)).isTrue();
    }

    /** An endpoint that resets single connections goes on to respond; requests that it broke off crash nothing. */
    @Test
    void aResponseOfTheSameIncarnationRefutesItsCrash() {
        List.of("a@1", "b@1", "c@1").forEach(each -> table.add(crash(each), NOW));
        assertThat(table.refuteCrash("a@1", NOW + CrashTable.IN_FLIGHT_MILLIS - 1))
                .isEmpty();
        assertThat(isQuarantined(NOW)).isTrue();
        assertThat(table.refuteCrash("a@1", NOW + CrashTable.IN_FLIGHT_MILLIS)).hasSize(1);
        assertThat(table.refuteCrash("a@1", NOW + CrashTable.IN_FLIGHT_MILLIS)).isEmpty();
        assertThat(isQuarantined(NOW)).isFalse();
    }

    /**
     * An endpoint that has crashed may start again under its id. Until the entry hears of its new start time, responses
     * seem to come from the incarnation that crashed.
     */
    @Test
    void aLateResponseUnderTheSameIdRefutesNothing() {
        List.of("a@1", "b@1", "c@1").forEach(each -> table.add(crash(each), NOW));
        assertThat(table.refuteCrash("a@1", NOW + CrashTable.MIN_DOWN_MILLIS + 1))
                .isEmpty();
        assertThat(isQuarantined(NOW)).isTrue();
    }

    /** A quarantine without end would also refuse a request that a later version of the software can run. */
    @Test
    void theQuarantineEndsAndTheNextLastsTwiceAsLong() {
        List.of("a@1", "b@1", "c@1").forEach(each -> table.add(crash(each), NOW));
        long end = NOW + CrashTable.FIRST_QUARANTINE_MILLIS;
        assertThat(isQuarantined(end - 1)).isTrue();
        assertThat(isQuarantined(end)).isFalse();
        table.add(crash("d@1"), end);
        assertThat(table.quarantineMillis(POISON, end)).hasValue(2 * CrashTable.FIRST_QUARANTINE_MILLIS);
        for (int i = 0; i < 100; i++) {
            table.add(crash("more@" + i), end);
        }
        assertThat(table.quarantineMillis(POISON, end)).hasValue(CrashTable.MAX_QUARANTINE_MILLIS);
    }

    /** Processes that learn the same evidence in another order, or twice, must come to the same decision. */
    @Test
    void mergesInAnyOrder() {
        List<CrashEvidence> all = new ArrayList<>();
        for (String each : List.of("a@1", "b@1", "c@1", "d@1", "e@1")) {
            all.add(crash(each));
        }
        all.add(new CrashEvidence(POISON, "a@1", true, 0));
        all.add(new CrashEvidence(POISON, "b@1", true, 0));
        for (int seed = 0; seed < 50; seed++) {
            List<CrashEvidence> shuffled = new ArrayList<>(all);
            shuffled.addAll(all);
            Collections.shuffle(shuffled, new Random(seed));
            CrashTable merged = CrashTable.create();
            shuffled.forEach(each -> merged.add(each, NOW));
            assertThat(merged.quarantineMillis(POISON, NOW)).hasValue(CrashTable.FIRST_QUARANTINE_MILLIS);
            assertThat(merged.evidence(NOW)).hasSize(5);
        }
    }

    /** The age of evidence counts, so that a report that arrives late does not prolong the quarantine. */
    @Test
    void countsTheAgeOfEvidence() {
        for (String each : List.of("a@1", "b@1", "c@1")) {
            table.add(new CrashEvidence(POISON, each, false, 10_000), NOW);
        }
        assertThat(table.quarantineMillis(POISON, NOW)).hasValue(CrashTable.FIRST_QUARANTINE_MILLIS - 10_000);
        assertThat(table.quarantineEvidence(NOW + 5).get(0).ageMillis()).isEqualTo(10_005);
    }

    /** Many requests that were lost in crashes of others must not displace one that is in quarantine. */
    @Test
    void forgetsNoRequestInQuarantineWhileThereAreOthers() {
        List.of("a@1", "b@1", "c@1").forEach(each -> table.add(crash(each), NOW));
        for (int i = 0; i < 2 * CrashTable.MAX_REQUESTS; i++) {
            table.add(new CrashEvidence(fingerprint("/" + i), "a@1", false, 0), NOW);
        }
        assertThat(isQuarantined(NOW)).isTrue();
        assertThat(table.refuteCrash("a@1", NOW + CrashTable.IN_FLIGHT_MILLIS)).hasSize(CrashTable.MAX_REQUESTS);
    }

    /** Evidence must not accumulate without limit. */
    @Test
    void forgetsExpiredEvidenceAndTheOldestRequests() {
        for (int i = 0; i <= CrashTable.MAX_REQUESTS; i++) {
            table.add(new CrashEvidence(fingerprint("/" + i), "a@1", false, 0), NOW);
        }
        assertThat(table.evidence(NOW)).hasSize(CrashTable.MAX_REQUESTS);
        assertThat(table.mayHold(fingerprint("/0").summary())).isFalse();
        assertThat(table.mayHold(fingerprint("/1").summary())).isTrue();
        table.expire(NOW + CrashTable.RETENTION_MILLIS + 1);
        assertThat(table.evidence(NOW)).isEmpty();
        assertThat(table.mayHold(fingerprint("/1").summary())).isFalse();
        assertThat(table.add(new CrashEvidence(POISON, "a@1", false, CrashTable.RETENTION_MILLIS + 1), NOW))
                .isFalse();
    }
}
