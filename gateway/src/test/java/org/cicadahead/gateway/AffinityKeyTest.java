package org.cicadahead.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against an invalid key of a caller that influences where requests are sent. */
class AffinityKeyTest {
    @Test
    void parsesOneValue() {
        assertThat(AffinityKey.parse(List.of(" object 17 "))).isEqualTo(new AffinityKey("object 17"));
        assertThat(AffinityKey.parse(List.of())).isEqualTo(AffinityKey.NONE);
        assertThat(AffinityKey.parse(List.of("k".repeat(256)))).isNotNull();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "   ", "tab\there", "ümlaut", "nul\0"})
    void ignoresAnInvalidValue(String text) {
        assertThat(AffinityKey.parse(List.of(text))).isNull();
    }

    @Test
    void ignoresALongOrRepeatedValue() {
        assertThat(AffinityKey.parse(List.of("k".repeat(257)))).isNull();
        assertThat(AffinityKey.parse(List.of("a", "a"))).isNull();
    }
}
