package org.cicadahead.fleet;

import org.cicadahead.protocol.Message;

/** Asks the leader of the hubs for the configuration in force. Answered by {@link SiteDocument}. */
public record ReadSite() implements Message {}
