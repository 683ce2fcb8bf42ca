package org.cicadahead.protocol;

/**
 * Records a finished step. Answered by {@link Done}. Idempotent.
 *
 * @param step the step with its fencing token
 * @param usedTokens the tokens that the step used
 * @param request the new messages of the request, as JSON
 * @param answer the answer, as the entry encoded it
 * @param end true if the program ends with this step
 */
public record FinishStep(StepRef step, long usedTokens, byte[] request, byte[] answer, boolean end)
        implements Command {}
