package org.cicadahead.testbed.soak;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class SoakKnownTest {

    /** Guards against a violation that CI passes over although no entry lists its text. */
    @Test
    void onlyListedTextsArePassedOver() {
        SoakKnown known = SoakKnown.of(List.of(
                "# soak VIOLATION \"in a comment\"",
                "soak --seed 7, issue 32",
                "  soak VIOLATION \"a run that\"; seen once"));
        assertThat(known.lists("at 7 a run that goes on")).isTrue();
        assertThat(known.lists("in a comment")).isFalse();
        assertThat(known.lists("soak --seed 7")).isFalse();
    }
}
