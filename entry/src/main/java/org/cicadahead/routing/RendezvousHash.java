package org.cicadahead.routing;

/**
 * Computes the scores of rendezvous hashing (highest random weight): a name is assigned to the endpoint that
 * has the highest score for it.
 */
final class RendezvousHash {
    private static final long MULTIPLIER_1 = 0xbf58476d1ce4e5b9L;
    private static final long MULTIPLIER_2 = 0x94d049bb133111ebL;
    private static final int PRIME = 31;

    private RendezvousHash() {}

    /** Returns the score of an endpoint for a name; the same in every process. */
    static long score(String name, String endpoint) {
        return mix(mix(polynomialHash(name)) ^ polynomialHash(endpoint));
    }

    private static long polynomialHash(String text) {
        long hash = 1;
        for (int i = 0; i < text.length(); i++) {
            hash = hash * PRIME + text.charAt(i);
        }
        return hash;
    }

    /** Applies the finalizer of SplitMix64, so that similar names get uncorrelated scores. */
    private static long mix(long value) {
        long mixed = (value ^ value >>> 30) * MULTIPLIER_1;
        mixed = (mixed ^ mixed >>> 27) * MULTIPLIER_2;
        return mixed ^ mixed >>> 31;
    }
}
