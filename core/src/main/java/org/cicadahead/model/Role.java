package org.cicadahead.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** The roles that a daemon can have. */
public enum Role {
    /** Holds a replica of the durable state. */
    CONTROL,
    /** Accepts the requests of callers. */
    ENTRY,
    /** Runs requests on one endpoint. */
    ENDPOINT;

    /**
     * Returns the role with the given code.
     *
     * @param code the name in any case
     * @return the role
     * @throws IllegalArgumentException if no role has the code
     */
    @JsonCreator
    public static Role of(String code) {
        return valueOf(code.toUpperCase(Locale.ROOT));
    }

    /**
     * Returns the name in lower case, as it is written in the settings.
     *
     * @return the code
     */
    @JsonValue
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
