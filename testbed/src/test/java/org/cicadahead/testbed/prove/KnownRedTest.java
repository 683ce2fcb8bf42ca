package org.cicadahead.testbed.prove;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class KnownRedTest {

    /** Guards against a failing case that CI passes over although no entry names its command. */
    @Test
    void onlyCasesOfCommandsAreListed() {
        KnownRed known = KnownRed.of(List.of(
                "# prove --only commented",
                "prove poison, ./prove --seed 3 --only poison, three crashes, #1",
                "LogStoreTest --only other",
                "drain was seen to fail"));
        assertThat(known.names()).containsExactly("poison");
    }

    /** Guards against names that are cut or joined when a command has several of them. */
    @Test
    void commandWithSeveralCasesListsEach() {
        KnownRed known = KnownRed.of(List.of("x, ./prove --only=key-places,rate --seed 1, seen, issue"));
        assertThat(known.names()).containsExactly("key-places", "rate");
    }

    /** Guards against a name that matches no case, which would pass over nothing. */
    @Test
    void caseIsFoundByItsWholeName() {
        KnownRed known = KnownRed.of(List.of("./prove --only rate"));
        assertThat(known.lists(FaultCase.quick("rate", "", scene -> {}))).isTrue();
        assertThat(known.lists(FaultCase.quick("rate-failover", "", scene -> {})))
                .isFalse();
    }
}
