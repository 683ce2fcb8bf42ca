package org.cicadahead.protocol;

import org.cicadahead.model.DaemonId;
import org.cicadahead.model.ProgramId;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.model.RequestDigest;
import org.cicadahead.model.RouteName;

/**
 * Asks for permission to run a step of a program. Answered by {@link StepReply}. Idempotent: a retry with the same
 * nonce gets the same
 * answer.
 *
 * @param program the program
 * @param parent the parent program, or null; only read for the first step
 * @param step the number of the step, starting at 1
 * @param digest the digest of the request
 * @param route the route
 * @param reserveTokens the maximum number of tokens that the step may use, which are reserved from the budget
 * @param budgetTokens the budget of a new root program
 * @param maxSteps the step limit of the program
 * @param idleLimitMillis the idle time after which the program is ended, in milliseconds
 * @param knownSteps how many finished steps of the history the entry already holds
 * @param entry the entry
 * @param nonce identifies the attempt of the entry; a retry of the message carries the same nonce
 */
public record BeginStep(
        ProgramKey program,
        ProgramId parent,
        int step,
        RequestDigest digest,
        RouteName route,
        long reserveTokens,
        long budgetTokens,
        int maxSteps,
        long idleLimitMillis,
        int knownSteps,
        DaemonId entry,
        String nonce)
        implements Command {}
