package org.cicadahead.protocol;

import org.cicadahead.model.RefusalReason;

/**
 * Answers a request that cannot be served.
 *
 * @param reason the reason
 * @param detail an explanation for people
 */
public record Refused(RefusalReason reason, String detail) implements Message {}
