package org.cicadahead.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.cicadahead.wire.Codec;

/** Renders a program: its state, then one line a finished step with where it ran and why. */
final class ExplainText {
    private static final String HISTORY = "history";

    private ExplainText() {}

    static String render(JsonNode program) {
        ObjectNode head = program.deepCopy();
        head.remove(HISTORY);
        ArrayNode rows = Codec.json().createArrayNode();
        String previous = "";
        for (JsonNode step : program.path(HISTORY)) {
            JsonNode placement = step.path("placement");
            String endpoint = placement.path("endpoint").asText("");
            ObjectNode row = rows.addObject().put("step", step.path("step").asInt());
            row.put("endpoint", endpoint.isEmpty() ? "-" : endpoint);
            row.put("prompt", number(placement, "prompt_tokens")).put("cached", number(placement, "cached_tokens"));
            row.put("request_bytes", step.path("request_bytes").asLong());
            row.put("answer_bytes", step.path("answer_bytes").asLong());
            row.put("why", why(endpoint, previous, placement));
            previous = endpoint;
        }
        return TextTable.render(head) + (rows.isEmpty() ? "steps: none finished\n" : "\n" + TextTable.render(rows));
    }

    private static String number(JsonNode placement, String field) {
        return placement.has(field) ? placement.path(field).asText() : "-";
    }

    private static String why(String endpoint, String previous, JsonNode placement) {
        if (endpoint.isEmpty()) {
            return "not recorded";
        }
        StringBuilder why = new StringBuilder();
        for (JsonNode failed : placement.path("failed")) {
            why.append("after ")
                    .append(failed.path("endpoint").asText())
                    .append(" refused or failed (")
                    .append(failed.path("reason").asText())
                    .append("), ");
        }
        if (previous.isEmpty()) {
            why.append("least cost for the first recorded step");
        } else if (previous.equals(endpoint)) {
            why.append("stayed where the step before ran");
        } else {
            why.append("moved from ").append(previous).append(", which cost more or was not available");
        }
        return why.toString();
    }
}
