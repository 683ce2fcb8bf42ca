package org.cicadahead.protocol;

/**
 * Gives up a step that did not complete, so that a resend may run it. Answered by {@link Done}.
 *
 * @param step the step with its fencing token
 * @param usedTokens the tokens that it used before it failed
 */
public record AbandonStep(StepRef step, long usedTokens) implements Command {}
