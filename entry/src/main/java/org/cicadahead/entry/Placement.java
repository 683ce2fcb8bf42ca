package org.cicadahead.entry;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.protocol.Usage;

/**
 * Where a request ran, as {@code cicadactl explain} shows it. It holds neither keys nor message content. Immutable.
 *
 * @param endpoint the endpoint that ran it
 * @param usage the tokens that the endpoint reported, or null
 * @param failed the endpoints that were tried before in their order, with the reason of each
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
        ArrayNode tried = json.putArray("failed");
        failed.forEach(
                (id, reason) -> tried.addObject().put("endpoint", id.value()).put("reason", reason.code()));
        return json;
    }
}
