package org.cicadahead.protocol;

/**
 * A message between processes. Implementations are immutable records.
 *
 * <p>{@link MessageCatalog} lists the types and their names on the wire.
 */
public interface Message {}
