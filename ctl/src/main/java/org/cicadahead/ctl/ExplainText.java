package org.cicadahead.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.cicadahead.wire.Codec;

/** Renders a program as text: its state, then one row per finished step with its endpoint and the placement reason. */
final class ExplainText {
    private static final String HISTORY = "history";

    private ExplainText() {}

    static String render(JsonNode program) {
        ObjectNode summary = program.deepCopy();
        summary.remove(HISTORY);
        ArrayNode rows = Codec.json().createArrayNode();
        String previous = "";
        for (JsonNode step : program.path(HISTORY)) {
            JsonNode placement = step.path("placement");
            String endpoint = placement.path("endpoint").asText("");
            ObjectNode row = rows.addObject().put("step", step.path("step").asInt());
            row.put("endpoint", endpoint.isEmpty() ? "-" : endpoint);
            row.put("prompt", textOrDash(placement, "prompt_tokens"))
                    .put("cached", textOrDash(placement, "cached_tokens"));
            row.put("request_bytes", step.path("request_bytes").asLong());
            row.put("answer_bytes", step.path("answer_bytes").asLong());
            row.put("why", placementReason(endpoint, previous, placement));
            previous = endpoint;
        }
        return TextTable.render(summary) + (rows.isEmpty() ? "steps: none finished\n" : "\n" + TextTable.render(rows));
    }

    private static String textOrDash(JsonNode placement, String field) {
        return placement.has(field) ? placement.path(field).asText() : "-";
    }

    private static String placementReason(String endpoint, String previous, JsonNode placement) {
        if (endpoint.isEmpty()) {
            return "not recorded";
        }
        StringBuilder reason = new StringBuilder();
        for (JsonNode failedAttempt : placement.path("failed")) {
            reason.append("after ")
                    .append(failedAttempt.path("endpoint").asText())
                    .append(" refused or failed (")
                    .append(failedAttempt.path("reason").asText())
                    .append("), ");
        }
        if (previous.isEmpty()) {
            reason.append("least cost for the first recorded step");
        } else if (previous.equals(endpoint)) {
            reason.append("stayed where the step before ran");
        } else {
            reason.append("moved from ").append(previous).append(", which cost more or was not available");
        }
        return reason.toString();
    }
}
