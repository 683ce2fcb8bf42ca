package org.cicadahead.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** The kinds of configuration resources. */
public enum ResourceKind {
    /** Which organisations may call which programs. */
    ROUTE("routes", Route.class),
    /** The endpoints that serve routes. */
    POOL("pools", Pool.class),
    /** A customer with its rate and burst. */
    ORGANISATION("organisations", Organisation.class),
    /** A caller key, by its digest. */
    KEY("keys", Key.class);

    private final String plural;
    private final Class<? extends Resource> type;

    ResourceKind(String plural, Class<? extends Resource> type) {
        this.plural = plural;
        this.type = type;
    }

    /**
     * Returns the kind with a code or plural.
     *
     * @param code for example {@code route} or {@code routes}
     * @return the kind
     * @throws IllegalArgumentException if no kind has the code
     */
    @JsonCreator
    public static ResourceKind of(String code) {
        for (ResourceKind kind : values()) {
            if (kind.code().equals(code) || kind.plural.equals(code)) {
                return kind;
            }
        }
        throw new IllegalArgumentException("There is no resource kind " + code);
    }

    /**
     * Returns the name in lower case.
     *
     * @return the code
     */
    @JsonValue
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the plural, as admin paths write it.
     *
     * @return the plural
     */
    public String plural() {
        return plural;
    }

    /**
     * Returns the class of the resources of this kind.
     *
     * @return the class
     */
    public Class<? extends Resource> type() {
        return type;
    }
}
