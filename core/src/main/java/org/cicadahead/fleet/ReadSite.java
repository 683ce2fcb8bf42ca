package org.cicadahead.fleet;

import org.cicadahead.protocol.Message;

/** Asks the leader of the hubs for the active configuration. Answered by {@link SiteDocument}. */
public record ReadSite() implements Message {}
