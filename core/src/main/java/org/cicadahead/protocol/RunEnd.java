package org.cicadahead.protocol;

import org.cicadahead.model.RefusalReason;
import org.cicadahead.model.RunId;

/**
 * Ends the answer to a run.
 *
 * @param run the run
 * @param chunks how many chunks were sent
 * @param status the HTTP status of the endpoint; 0 if refused
 * @param contentType the content type of the answer
 * @param refusal why the run failed, or null
 * @param notRun true if the endpoint certainly did not get the request and will not
 * @param detail for people
 * @param usage the tokens, or null
 * @param load the load after the run
 */
public record RunEnd(
        RunId run,
        long chunks,
        int status,
        String contentType,
        RefusalReason refusal,
        boolean notRun,
        String detail,
        Usage usage,
        EndpointLoad load)
        implements Message {}
