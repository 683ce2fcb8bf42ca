package org.cicadahead.state;

import java.util.Arrays;
import org.cicadahead.model.RequestDigest;

/**
 * What is kept in memory of each finished step: 16 bytes, as a program has up to 65 turns and 85,000 programs are in
 * progress.
 *
 * <p>The first 64 bits of the digest tell a resent step from a changed one. A caller that searches for a collision
 * only gets its own recorded answer.
 */
final class StepMarks {
    private static final int HEX_DIGITS = 16;
    private static final int HEX_RADIX = 16;
    private static final int WORDS = 2;

    private long[] words;
    private int steps;

    private StepMarks(long[] words) {
        this.words = words;
        this.steps = words.length / WORDS;
    }

    static StepMarks create() {
        return new StepMarks(new long[0]);
    }

    static StepMarks from(long[] words) {
        return new StepMarks(words.clone());
    }

    static long prefix(RequestDigest digest) {
        return Long.parseUnsignedLong(digest.value().substring(0, HEX_DIGITS), HEX_RADIX);
    }

    int steps() {
        return steps;
    }

    void add(long digestPrefix, long fence) {
        int at = steps * WORDS;
        if (at == words.length) {
            words = Arrays.copyOf(words, Math.max(2 * WORDS, 2 * words.length));
        }
        words[at] = digestPrefix;
        words[at + 1] = fence;
        steps++;
    }

    boolean isSameRequest(int step, RequestDigest digest) {
        return words[(step - 1) * WORDS] == prefix(digest);
    }

    boolean isFence(int step, long fence) {
        return words[(step - 1) * WORDS + 1] == fence;
    }

    long[] toArray() {
        return Arrays.copyOf(words, steps * WORDS);
    }
}
