package org.cicadahead.protocol;

/**
 * A message that changes replicated state. The leader appends it to the log, and each replica applies it in log
 * order.
 *
 * <p>Implementations are immutable records.
 */
public interface Command extends Message {}
