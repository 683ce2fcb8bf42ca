package org.cicadahead.state;

import java.util.Arrays;
import org.cicadahead.model.RequestDigest;

/**
 * In-memory record of the finished steps of a program: a digest prefix and a fencing token for each step. Each step
 * takes only 16 bytes, because 85,000 programs with up to 65 turns each are in progress at once.
 *
 * <p>The first 64 bits of the digest distinguish a resent step from a changed one. A caller that constructs a collision
 * gains nothing, as it only gets its own recorded answer.
 */
final class FinishedSteps {
    private static final int PREFIX_HEX_DIGITS = 16;
    private static final int HEX_RADIX = 16;
    private static final int WORDS_PER_STEP = 2;

    private long[] words;
    private int count;

    private FinishedSteps(long[] words) {
        this.words = words;
        this.count = words.length / WORDS_PER_STEP;
    }

    static FinishedSteps create() {
        return new FinishedSteps(new long[0]);
    }

    static FinishedSteps from(long[] words) {
        return new FinishedSteps(words.clone());
    }

    static long prefix(RequestDigest digest) {
        return Long.parseUnsignedLong(digest.value().substring(0, PREFIX_HEX_DIGITS), HEX_RADIX);
    }

    int count() {
        return count;
    }

    void add(long digestPrefix, long fence) {
        int offset = count * WORDS_PER_STEP;
        if (offset == words.length) {
            words = Arrays.copyOf(words, Math.max(2 * WORDS_PER_STEP, 2 * words.length));
        }
        words[offset] = digestPrefix;
        words[offset + 1] = fence;
        count++;
    }

    boolean isSameRequest(int step, RequestDigest digest) {
        return words[(step - 1) * WORDS_PER_STEP] == prefix(digest);
    }

    boolean hasFence(int step, long fence) {
        return words[(step - 1) * WORDS_PER_STEP + 1] == fence;
    }

    long[] toArray() {
        return Arrays.copyOf(words, count * WORDS_PER_STEP);
    }
}
