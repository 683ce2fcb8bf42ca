package org.cicadahead.fleet;

import org.cicadahead.protocol.Message;

/**
 * The configuration in force as the operator sent it.
 *
 * @param version its version; 0 if there is none yet
 * @param source the document
 */
public record SiteDocument(long version, byte[] source) implements Message {}
