package org.cicadahead.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** The kinds of configuration resources. */
public enum ResourceKind {
    /** A route, which states who may call a pool and under what limits. */
    ROUTE("routes", Route.class),
    /** A pool of endpoints that serve routes. */
    POOL("pools", Pool.class),
    /** A customer with its rate limit. */
    ORGANISATION("organisations", Organisation.class),
    /** An API key of a caller, identified by its digest. */
    KEY("keys", Key.class);

    private final String plural;
    private final Class<? extends Resource> type;

    ResourceKind(String plural, Class<? extends Resource> type) {
        this.plural = plural;
        this.type = type;
    }

    /**
     * Returns the kind with the given code or plural.
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
     * Returns the plural, as it appears in the paths of the admin API.
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
