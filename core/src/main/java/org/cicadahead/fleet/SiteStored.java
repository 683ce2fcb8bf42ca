package org.cicadahead.fleet;

import org.cicadahead.protocol.Message;

/**
 * Answers {@link SubmitSite} with the result of the version check.
 *
 * @param version the version that is active afterwards
 * @param replaced whether the submitted configuration is now active
 */
public record SiteStored(long version, boolean replaced) implements Message {}
