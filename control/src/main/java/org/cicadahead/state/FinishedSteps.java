package org.cicadahead.state;

import java.util.Arrays;
import org.cicadahead.model.RequestDigest;

/**
 * In-memory record of the finished steps of a program: a digest prefix and a fencing token for each step. A step takes
 * only 16 bytes, as a program has up to 65 turns and 85,000 programs are in progress.
 *
 * <p>The first 64 bits of the digest distinguish a resent step from a changed one. A caller that constructs a collision
 * gains nothing, as it only gets its own recorded answer.
 */
final class FinishedSteps {
    private static final int HEX_DIGITS = 16;
    private static final int HEX_RADIX = 16;
    private static final int WORDS = 2;

    private long[] words;
    private int count;

    private FinishedSteps(long[] words) {
        this.words = words;
        this.count = words.length / WORDS;
    }

    static FinishedSteps create() {
        return new FinishedSteps(new long[0]);
    }

    static FinishedSteps from(long[] words) {
        return new FinishedSteps(words.clone());
    }

    static long prefix(RequestDigest digest) {
        return Long.parseUnsignedLong(digest.value().substring(0, HEX_DIGITS), HEX_RADIX);
    }

    int count() {
        return count;
    }

    void add(long digestPrefix, long fence) {
        int offset = count * WORDS;
        if (offset == words.length) {
            words = Arrays.copyOf(words, Math.max(2 * WORDS, 2 * words.length));
        }
        words[offset] = digestPrefix;
        words[offset + 1] = fence;
        count++;
    }

    boolean isSameRequest(int step, RequestDigest digest) {
        return words[(step - 1) * WORDS] == prefix(digest);
    }

    boolean hasFence(int step, long fence) {
        return words[(step - 1) * WORDS + 1] == fence;
    }

    long[] toArray() {
        return Arrays.copyOf(words, count * WORDS);
    }
}
