package org.cicadahead.gateway;

import java.util.List;
import java.util.Objects;

/**
 * A request of a caller, decoded. Immutable; the body must not be changed.
 *
 * @param attempt the id of this attempt of the caller
 * @param method the method
 * @param target the path with its query, as it came
 * @param path the path without its query
 * @param host the host that the request names
 * @param fields the headers that are passed on to the endpoint
 * @param body the body; empty if there is none
 * @param key the caller's key, or null
 * @param timeLeftMillis how long the caller waits, in milliseconds; -1 if it does not tell
 * @param programContext the place in a program, or null
 * @param previousTurn the turn that this one continues; empty if there is none
 * @param prompt the parts of the prompt in their order; empty if it is not told
 * @param maxTokens the most tokens that the request generates; 0 if it is not told
 * @param lastEventId the last event that the caller has, if it resumes a stream; -1 otherwise
 * @param receivedMillis the monotonic time at which the request was read, in milliseconds
 */
public record CallerRequest(
        String attempt,
        String method,
        String target,
        String path,
        String host,
        List<HeaderField> fields,
        byte[] body,
        String key,
        long timeLeftMillis,
        ProgramContext programContext,
        String previousTurn,
        List<PromptPart> prompt,
        long maxTokens,
        long lastEventId,
        long receivedMillis) {

    /**
     * Checks the values.
     *
     * @throws NullPointerException if a value that must be told is null
     */
    public CallerRequest {
        Objects.requireNonNull(attempt, "The attempt must not be null");
        Objects.requireNonNull(method, "The method must not be null");
        Objects.requireNonNull(target, "The target must not be null");
        Objects.requireNonNull(path, "The path must not be null");
        Objects.requireNonNull(host, "The host must not be null");
        Objects.requireNonNull(body, "The body must not be null");
        Objects.requireNonNull(previousTurn, "The previous turn must not be null");
        fields = List.copyOf(fields);
        prompt = List.copyOf(prompt);
    }

    /**
     * Returns what tells apart the lines of turns whose prompts share a cache.
     *
     * @return the session, else the last part of the prompt, else an empty text
     */
    public String cacheLine() {
        if (programContext != null && !programContext.session().isEmpty()) {
            return programContext.session();
        }
        return prompt.isEmpty() ? "" : prompt.get(prompt.size() - 1).id();
    }
}
