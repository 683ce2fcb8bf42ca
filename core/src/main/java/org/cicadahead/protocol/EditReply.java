package org.cicadahead.protocol;

/**
 * Answers an edit of an operator.
 *
 * @param outcome what became of it
 * @param current the resource after the edit, or the current one on a conflict; null if there is none
 * @param detail for operators
 */
public record EditReply(EditOutcome outcome, ResourceChange current, String detail) implements Message {}
