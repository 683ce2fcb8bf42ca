package org.cicadahead.gateway;

import java.util.List;
import java.util.Locale;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * The status and headers of an endpoint's response. Immutable.
 *
 * @param status the HTTP status code
 * @param fields the headers that are passed on to the caller
 * @param attempt the attempt id that the endpoint echoes; empty if it sends none
 * @param signature whether the response carries the endpoint's signature, which proves that it ran the request
 * @param notRun whether the endpoint states that it did not run the request
 * @param requestLimit the number of requests per second that the endpoint accepts from all entries together; empty if
 *     it states none
 * @param leaving whether the endpoint states that it is about to leave
 */
public record ResponseHead(
        int status,
        List<HeaderField> fields,
        String attempt,
        boolean signature,
        boolean notRun,
        OptionalDouble requestLimit,
        boolean leaving) {
    private static final int OK = 200;
    private static final int REDIRECT = 300;
    /** Request timeout, misdirected request, too many requests, service unavailable. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    /** Copies the list of headers. */
    public ResponseHead {
        fields = List.copyOf(fields);
    }

    /**
     * Returns the media type of the body, without parameters.
     *
     * @return the type in lower case; empty if the endpoint states none
     */
    public String mediaType() {
        for (HeaderField field : fields) {
            if (field.name().equalsIgnoreCase("Content-Type")) {
                String type = field.value();
                int end = type.indexOf(';');
                return (end < 0 ? type : type.substring(0, end)).trim().toLowerCase(Locale.ROOT);
            }
        }
        return "";
    }

    /**
     * Returns whether a caller concludes from the status alone that its request did not run. An endpoint may use such a
     * status for a request that it has run; only {@link #notRun()} tells.
     *
     * @return true for 408, 421, 429 and 503
     */
    public boolean impliesNotRun() {
        return NOT_RUN_STATUSES.contains(status);
    }

    /**
     * Returns whether the status is a success.
     *
     * @return true for a status of 2xx
     */
    public boolean isSuccess() {
        return status >= OK && status < REDIRECT;
    }
}
