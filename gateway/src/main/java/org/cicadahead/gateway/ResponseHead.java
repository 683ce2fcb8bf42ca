package org.cicadahead.gateway;

import java.util.List;

/**
 * The status and the headers of an endpoint's answer. Immutable.
 *
 * @param status the status
 * @param fields the headers that are passed on to the caller
 * @param attempt the attempt that the endpoint says it answers; empty if it does not say
 * @param signature whether it carries the endpoint's proof that it ran the request
 * @param notRun whether the endpoint says that it did not run the request
 */
public record ResponseHead(int status, List<HeaderField> fields, String attempt, boolean signature, boolean notRun) {
    private static final int OK = 200;
    private static final int REDIRECT = 300;

    /** Copies the list. */
    public ResponseHead {
        fields = List.copyOf(fields);
    }

    /**
     * Returns whether the endpoint answered with success.
     *
     * @return true for a status of 2xx
     */
    public boolean isSuccess() {
        return status >= OK && status < REDIRECT;
    }
}
