package org.cicadahead.daemon;

/**
 * The section {@code [health]}. Immutable.
 *
 * @param listen host and port of {@code /healthz}, {@code /readyz} and {@code /metrics}
 */
public record HealthSettings(String listen) {

    /** Checks the values. */
    public HealthSettings {
        Fields.address(listen, "listen");
    }
}
