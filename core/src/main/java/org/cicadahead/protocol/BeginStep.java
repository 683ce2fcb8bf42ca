package org.cicadahead.protocol;

import org.cicadahead.model.DaemonId;
import org.cicadahead.model.ProgramId;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.model.RequestDigest;
import org.cicadahead.model.RouteName;

/**
 * Asks to run a step of a program. Answered by {@link StepReply}. A resend with the same nonce gets the same answer.
 *
 * @param program the program
 * @param parent the parent program, or null; only used by the first step
 * @param step the step, from 1
 * @param digest the digest of the request
 * @param route the route
 * @param reserveTokens the tokens that the step may use at most
 * @param budgetTokens the budget of a new root program
 * @param maxSteps the step limit of the program
 * @param idleLimitMillis after how much silence the program is ended
 * @param knownSteps how many finished steps the entry has the history of
 * @param entry the entry
 * @param nonce identifies the attempt of the entry
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
