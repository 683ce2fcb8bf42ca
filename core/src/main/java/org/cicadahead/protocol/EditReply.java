package org.cicadahead.protocol;

/**
 * Answers an edit of an operator.
 *
 * @param outcome the result of the edit
 * @param current the resource after the edit, or the current one on a conflict; null if there is none
 * @param detail an explanation for operators
 */
public record EditReply(EditOutcome outcome, ResourceChange current, String detail) implements Message {}
