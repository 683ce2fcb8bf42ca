package org.cicadahead.protocol;

/**
 * A finished step of a program. Immutable.
 *
 * @param step the number of the step
 * @param request the new messages of the request, as JSON
 * @param answer the recorded answer, as the entry encoded it
 */
public record HistoryRecord(int step, byte[] request, byte[] answer) {}
