package org.cicadahead.gateway;

import java.util.List;
import java.util.Objects;

/**
 * A decoded request of a caller. Immutable; the body must not be modified.
 *
 * @param attempt the caller's id of this attempt
 * @param method the HTTP method
 * @param target the path and query as received
 * @param path the path without its query
 * @param host the host that the request is addressed to
 * @param fields the headers that are forwarded to the endpoint
 * @param body the body; empty if there is none
 * @param key the caller's API key, or null
 * @param timeLeftMillis the time that the caller allows for the request, in milliseconds; -1 if not given
 * @param programContext the program that the request belongs to, or null
 * @param previousTurn the id of the turn that this one continues; empty if there is none
 * @param prompt the parts of the prompt in order; empty if not given
 * @param affinityValues the values of the header that names the object the request concerns, one for each occurrence
 * @param maxTokens the maximum number of tokens to generate; 0 if not given
 * @param lastEventId the id of the last event that the caller has received, if it resumes a stream; -1 otherwise
 * @param resumedAttempt the caller's attempt that brought the first event of the stream that it resumes; empty if the
 *     caller names none
 * @param receivedMillis the monotonic time at which the head of the request was read, in milliseconds
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
        List<String> affinityValues,
        long maxTokens,
        long lastEventId,
        String resumedAttempt,
        long receivedMillis) {

    /**
     * Checks the values.
     *
     * @throws NullPointerException if a required value is null
     */
    public CallerRequest {
        Objects.requireNonNull(attempt, "The attempt must not be null");
        Objects.requireNonNull(method, "The method must not be null");
        Objects.requireNonNull(target, "The target must not be null");
        Objects.requireNonNull(path, "The path must not be null");
        Objects.requireNonNull(host, "The host must not be null");
        Objects.requireNonNull(body, "The body must not be null");
        Objects.requireNonNull(previousTurn, "The previous turn must not be null");
        Objects.requireNonNull(resumedAttempt, "The resumed attempt must not be null");
        fields = List.copyOf(fields);
        prompt = List.copyOf(prompt);
        affinityValues = List.copyOf(affinityValues);
    }

    /**
     * Returns the key that requests with a common prompt prefix share.
     *
     * @return the session id, or else the id of the last part of the prompt, or else an empty string
     */
    public String promptKey() {
        if (programContext != null && !programContext.session().isEmpty()) {
            return programContext.session();
        }
        return prompt.isEmpty() ? "" : prompt.get(prompt.size() - 1).id();
    }
}
