package org.cicadahead.routing;

/** Scores of rendezvous hashing: the endpoint with the greatest score of a name is its home. */
final class Rendezvous {
    private static final long MULTIPLIER_1 = 0xbf58476d1ce4e5b9L;
    private static final long MULTIPLIER_2 = 0x94d049bb133111ebL;
    private static final int PRIME = 31;

    private Rendezvous() {}

    /** Returns the same value in every process. */
    static long score(String name, String endpoint) {
        return mix(mix(fold(name)) ^ fold(endpoint));
    }

    private static long fold(String text) {
        long hash = 1;
        for (int i = 0; i < text.length(); i++) {
            hash = hash * PRIME + text.charAt(i);
        }
        return hash;
    }

    /** The finalizer of SplitMix64, so that similar names get unrelated scores. */
    private static long mix(long value) {
        long mixed = (value ^ value >>> 30) * MULTIPLIER_1;
        mixed = (mixed ^ mixed >>> 27) * MULTIPLIER_2;
        return mixed ^ mixed >>> 31;
    }
}
