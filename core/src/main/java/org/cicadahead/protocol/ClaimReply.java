package org.cicadahead.protocol;

/**
 * Answers {@link BeginClaim}.
 *
 * @param outcome the result of the claim
 * @param fence the fencing token if the outcome is GRANTED
 * @param recorded the recorded outcome if DONE, else null
 */
public record ClaimReply(ClaimOutcome outcome, long fence, Outcome recorded) implements Message {}
