package org.cicadahead.protocol;

import org.cicadahead.model.RequestId;
import org.cicadahead.model.ResourceKind;

/**
 * Deletes a resource. Answered by {@link EditReply}. Idempotent: a retry with the same request id gets the same answer.
 *
 * @param kind the kind
 * @param name the name
 * @param expectedRevision the revision that the edit is based on
 * @param request identifies the edit, so that a retry is recognised
 */
public record DeleteResource(ResourceKind kind, String name, long expectedRevision, RequestId request)
        implements Command {}
