package org.cicadahead.caller;

/** Handles the requests of callers. Implementations are thread-safe. */
public interface CallerService {

    /**
     * Handles a request. Must not block.
     *
     * @param request the request
     * @param response the response to write to
     */
    void serve(CallerRequest request, CallerResponse response);

    /**
     * Counts a refusal. Called once for each refusal that is sent to a caller.
     *
     * @param refusal the refusal
     */
    void countRefusal(Refusal refusal);
}
