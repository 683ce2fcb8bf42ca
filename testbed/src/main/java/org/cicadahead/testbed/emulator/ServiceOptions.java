package org.cicadahead.testbed.emulator;

/**
 * How an emulated service behaves. Immutable.
 *
 * @param delayMillis how long a call takes, in milliseconds
 */
public record ServiceOptions(long delayMillis) {

    /**
     * Returns a service that answers at once.
     *
     * @return the options
     */
    public static ServiceOptions immediate() {
        return new ServiceOptions(0);
    }
}
