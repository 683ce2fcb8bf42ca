package org.cicadahead.fleet;

import org.cicadahead.protocol.Command;
import org.cicadahead.site.SiteConfiguration;

/**
 * Puts a configuration in force if its version is higher than that in force. Answered by {@link SiteStored}.
 *
 * @param site the configuration
 * @param source the document as the operator sent it, which a read returns
 */
public record SubmitSite(SiteConfiguration site, byte[] source) implements Command {}
