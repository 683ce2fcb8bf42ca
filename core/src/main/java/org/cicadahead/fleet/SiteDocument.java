package org.cicadahead.fleet;

import org.cicadahead.protocol.Message;

/**
 * Answers {@link ReadSite} with the active configuration as the operator submitted it.
 *
 * @param version its version; 0 if there is none yet
 * @param source the document
 */
public record SiteDocument(long version, byte[] source) implements Message {}
