package org.cicadahead.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import org.cicadahead.model.RequestId;
import org.cicadahead.model.ResourceKind;

/**
 * Creates or replaces a resource. Answered by {@link EditReply}. Idempotent: a retry with the same request id gets the
 * same answer.
 *
 * @param kind the kind
 * @param name the name
 * @param body the resource
 * @param expectedRevision the revision that the edit is based on; 0 if the resource must not exist
 * @param request identifies the edit, so that a retry is recognised
 */
public record PutResource(ResourceKind kind, String name, JsonNode body, long expectedRevision, RequestId request)
        implements Command {}
