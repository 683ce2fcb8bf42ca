package org.cicadahead.fleet;

import org.cicadahead.protocol.Command;
import org.cicadahead.site.SiteConfiguration;

/**
 * Activates a configuration if its version is higher than that of the active one. Answered by {@link SiteStored}.
 *
 * @param site the configuration
 * @param source the document as the operator submitted it, which {@link ReadSite} returns
 */
public record SubmitSite(SiteConfiguration site, byte[] source) implements Command {}
