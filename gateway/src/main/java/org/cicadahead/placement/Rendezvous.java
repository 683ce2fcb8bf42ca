package org.cicadahead.placement;

/** Rendezvous hashing: all processes that know the same names agree on which of them ranks highest for a key. */
final class Rendezvous {

    private Rendezvous() {}

    /** Returns the rank of a name for a key. */
    static long rank(String key, String name) {
        return mix(mix(key.hashCode()) + name.hashCode());
    }

    /**
     * Spreads a hash over all bits (the finalizer of SplitMix64). Without it the names would keep their order for all
     * keys but for a rotation, and their shares of the keys would be as uneven as their hashes.
     */
    private static long mix(long hash) {
        long mixed = (hash + 0x9E3779B97F4A7C15L) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ mixed >>> 30) * 0x94D049BB133111EBL;
        return mixed ^ mixed >>> 31;
    }
}
