package org.cicadahead.testbed.fleet;

/**
 * What a run of {@code cicadactl} gave. Immutable.
 *
 * @param exitCode the exit code
 * @param output standard output and standard error
 */
public record CtlResult(int exitCode, String output) {

    /**
     * Returns this result if the run succeeded.
     *
     * @param what for the message
     * @return this result
     * @throws FleetException if it did not succeed
     */
    public CtlResult orThrow(String what) throws FleetException {
        if (exitCode != 0) {
            throw new FleetException(what + " failed with exit code " + exitCode + ": " + output.strip(), null);
        }
        return this;
    }
}
