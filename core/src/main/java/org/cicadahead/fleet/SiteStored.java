package org.cicadahead.fleet;

import org.cicadahead.protocol.Message;

/**
 * Tells that a configuration was considered.
 *
 * @param version the version in force afterwards
 * @param replaced whether the submitted one is now in force
 */
public record SiteStored(long version, boolean replaced) implements Message {}
