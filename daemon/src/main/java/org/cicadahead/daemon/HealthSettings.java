package org.cicadahead.daemon;

/**
 * Settings of the section {@code [health]}. Immutable.
 *
 * @param listen the host and port that serve {@code /healthz}, {@code /readyz} and {@code /metrics}
 */
public record HealthSettings(String listen) {

    /** Validates the address. */
    public HealthSettings {
        Fields.address(listen, "listen");
    }
}
