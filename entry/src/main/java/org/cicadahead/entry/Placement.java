package org.cicadahead.entry;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.protocol.Usage;

/**
 * The endpoint that ran a request and the failed attempts before it, as shown by {@code cicadactl explain}. It contains
 * neither keys nor message content. Immutable.
 *
 * @param endpoint the endpoint that ran the request
 * @param usage the token usage that the endpoint reported, or null
 * @param failed the endpoints that failed before, in order, each with the reason of its failure
 */
record Placement(EndpointId endpoint, Usage usage, Map<EndpointId, RefusalReason> failed) {

    static Placement of(EndpointId endpoint, Usage usage, Map<EndpointId, RefusalReason> failed) {
        return new Placement(endpoint, usage, new LinkedHashMap<>(failed));
    }

    ObjectNode toJson() {
        ObjectNode json = Json.object().put("endpoint", endpoint.value());
        if (usage != null) {
            json.put("prompt_tokens", usage.promptTokens()).put("cached_tokens", usage.cachedTokens());
        }
        ArrayNode failures = json.putArray("failed");
        failed.forEach(
                (id, reason) -> failures.addObject().put("endpoint", id.value()).put("reason", reason.code()));
        return json;
    }
}
