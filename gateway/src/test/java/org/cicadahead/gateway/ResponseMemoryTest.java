package org.cicadahead.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

/** Guards against a heap that is exhausted by many responses at once, each of which is below its own limit. */
class ResponseMemoryTest {
    @Test
    void refusesWhatExceedsTheCommonLimit() {
        ResponseMemory memory = new ResponseMemory(100);
        ResponseMemory.Holding first = memory.newHolding();
        ResponseMemory.Holding second = memory.newHolding();
        assertThat(first.resize(60)).isTrue();
        assertThat(second.resize(41)).isFalse();
        second.release();
        assertThat(memory.usedBytes()).isEqualTo(60);
        assertThat(first.resize(100)).isTrue();
        first.release();
        first.release();
        assertThat(memory.usedBytes()).isEqualTo(0);
    }

    @Test
    void needsAPositiveLimit() {
        IllegalArgumentException thrown = assertThrows(IllegalArgumentException.class, () -> new ResponseMemory(0));
        assertThat(thrown).hasMessageThat().isEqualTo("The limit must be positive: 0");
    }
}
