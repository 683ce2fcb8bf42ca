package org.cicadahead.caller;

/** Serves the requests of callers. Safe for use by several threads. */
public interface CallerService {

    /**
     * Serves a request. Must not block.
     *
     * @param request the request
     * @param answer takes the answer
     */
    void serve(CallerRequest request, CallerAnswer answer);

    /**
     * Counts a refusal; called once for each refusal that a caller gets.
     *
     * @param refusal the refusal
     */
    void refused(Refusal refusal);
}
