package org.cicadahead.model;

/** A configuration resource that operators edit. Immutable. */
public sealed interface Resource permits Route, Pool, Organisation, Key {

    /**
     * Returns the kind of this resource.
     *
     * @return the kind
     */
    ResourceKind kind();

    /**
     * Returns the name, unique within the kind.
     *
     * @return the name
     */
    String resourceName();
}
