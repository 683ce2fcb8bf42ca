package org.cicadahead.protocol;

import org.cicadahead.model.RefusalReason;
import org.cicadahead.model.RunId;

/**
 * The last message of the response to a run.
 *
 * @param run the run
 * @param chunks the number of chunks that were sent
 * @param status the HTTP status from the endpoint; 0 if the run was refused
 * @param contentType the content type of the answer
 * @param refusal why the run failed, or null
 * @param notRun true if the engine or service did not receive the request and will not receive it
 * @param detail an explanation for people
 * @param usage the token counts, or null
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
