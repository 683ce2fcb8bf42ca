package org.cicadahead.engine;

import java.util.Locale;
import java.util.Objects;

/**
 * An administrative command to an engine, which the protocol of engines calls an order. Immutable.
 *
 * @param fence the fencing token of the sender
 * @param kind the kind of command
 * @param argument the name of the model, the adapter or the role
 */
public record EngineOrder(long fence, Kind kind, String argument) {

    /** The kinds of commands. */
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
