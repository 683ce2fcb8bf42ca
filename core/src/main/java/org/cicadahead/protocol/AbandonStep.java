package org.cicadahead.protocol;

/**
 * Abandons a step that did not complete, so that a retry may run it. Answered by {@link Done}.
 *
 * @param step the step with its fencing token
 * @param usedTokens the tokens that the step used before it failed
 */
public record AbandonStep(StepRef step, long usedTokens) implements Command {}
