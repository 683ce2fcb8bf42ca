package org.cicadahead.caller;

import java.util.Map;
import org.cicadahead.model.IdempotencyKey;
import org.cicadahead.model.KeyDigest;
import org.cicadahead.model.ProgramId;
import org.cicadahead.model.RequestId;
import org.cicadahead.model.RouteName;

/**
 * A request of a caller, with the digest of its key in place of the key. Immutable.
 *
 * @param id identifies the request in logs and responses
 * @param kind the kind of the request
 * @param key the digest of the caller's key, or null if it sent none
 * @param method the HTTP method
 * @param route the route of a service request, or null for other kinds
 * @param path the path and query of a service request, or null for other kinds
 * @param target the program to read or to end, or null for other kinds
 * @param program the program of which the request is a step, or null
 * @param parent the parent of the program, or null
 * @param step the number of the step, or 0 without a program
 * @param end true if the program ends with this step
 * @param idempotencyKey the idempotency key, or null
 * @param headers the headers to forward, with names in lower case
 * @param body the body
 */
public record CallerRequest(
        RequestId id,
        Kind kind,
        KeyDigest key,
        String method,
        RouteName route,
        String path,
        ProgramId target,
        ProgramId program,
        ProgramId parent,
        int step,
        boolean end,
        IdempotencyKey idempotencyKey,
        Map<String, String> headers,
        byte[] body) {

    /** The kinds of requests. */
    public enum Kind {
        /** A chat completion. */
        CHAT,
        /** A request to a plain service. */
        SERVICE,
        /** A request for the state and the messages of a program. */
        READ_PROGRAM,
        /** A request to end a program. */
        END_PROGRAM
    }

    /** Copies the headers. */
    public CallerRequest {
        headers = Map.copyOf(headers);
    }
}
