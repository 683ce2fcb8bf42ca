package org.cicadahead.caller;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;

/** Encodes refusals as RFC 9457 problem documents. */
final class ProblemDocuments {
    static final String CONTENT_TYPE = "application/problem+json";

    private ProblemDocuments() {}

    static byte[] document(Refusal refusal) {
        return json(refusal).toString().getBytes(StandardCharsets.UTF_8);
    }

    static byte[] event(Refusal refusal) {
        return ("event: error\ndata: " + json(refusal) + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    private static ObjectNode json(Refusal refusal) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("type", "urn:cicadahead:refusal:" + refusal.reason().code());
        json.put("title", refusal.reason().title());
        json.put("status", refusal.reason().status());
        json.put("detail", refusal.detail());
        json.put("reason", refusal.reason().code());
        json.put("not_run", refusal.notRun());
        return json;
    }
}
