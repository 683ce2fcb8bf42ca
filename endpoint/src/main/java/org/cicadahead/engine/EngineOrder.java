package org.cicadahead.engine;

import java.util.Locale;
import java.util.Objects;

/**
 * An order to an engine. Immutable.
 *
 * @param fence the fencing token of the one who gives the order
 * @param kind what to do
 * @param argument the model, adapter or role
 */
public record EngineOrder(long fence, Kind kind, String argument) {

    /** What an engine can be ordered to do. */
    public enum Kind {
        /** Load a model. */
        LOAD_MODEL,
        /** Load an adapter. */
        LOAD_ADAPTER,
        /** Unload a model. */
        UNLOAD_MODEL,
        /** Change the role of the engine. */
        SET_ROLE;

        String code() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * Checks the values.
     *
     * @throws NullPointerException if a value is null
     */
    public EngineOrder {
        Objects.requireNonNull(kind, "The kind must not be null");
        Objects.requireNonNull(argument, "The argument must not be null");
    }
}
