package org.cicadahead.testbed.bench;

/** Which version decides. */
enum Variant {
    /** The packages of cicadahead. */
    CHOSEN,
    /** Round robin with FIFO queues and no cache awareness, with the same limits on what an engine runs. */
    NAIVE
}
