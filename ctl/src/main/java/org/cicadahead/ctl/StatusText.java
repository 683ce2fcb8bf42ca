package org.cicadahead.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import org.cicadahead.wire.Codec;

/** Renders the status of a fleet as text: a summary, then tables of control replicas, daemons and endpoints. */
final class StatusText {
    private static final double PERCENT = 100;

    private StatusText() {}

    static String render(JsonNode status) {
        StringBuilder text = new StringBuilder();
        ObjectNode summary = Codec.json().createObjectNode();
        summary.put("leader", leader(status));
        summary.put("replicas", replicas(status.path("members")));
        summary.put("revision", revision(status.path("configuration")));
        summary.put("fleet", fleet(status));
        JsonNode service = status.path("service");
        summary.put("worst served", worstServed(service));
        summary.put(
                "wrongful refusals",
                "%d of %d asks since the leader began"
                        .formatted(
                                service.path("wrongful_refusals").asLong(),
                                service.path("asks").asLong()));
        summary.put(
                "state",
                "%d programs, %d claims"
                        .formatted(
                                status.path("programs").asLong(),
                                status.path("claims").asLong()));
        text.append(TextTable.render(summary));
        appendTable(text, "members", status);
        appendTable(text, "daemons", status);
        appendTable(text, "endpoints", status);
        return text.toString();
    }

    private static String leader(JsonNode status) {
        return status.path("leader").asText("none") + ", term "
                + status.path("term").asLong();
    }

    private static String replicas(JsonNode members) {
        long voters = 0;
        long maxLagEntries = 0;
        for (JsonNode member : members) {
            voters += member.path("voter").asBoolean() ? 1 : 0;
            maxLagEntries = Math.max(maxLagEntries, member.path("lag_entries").asLong());
        }
        return "%d, %d of them vote, the last one lags %d entries".formatted(members.size(), voters, maxLagEntries);
    }

    private static String revision(JsonNode configuration) {
        return "%d, applied %d to %d, %d daemons behind"
                .formatted(
                        configuration.path("revision").asLong(),
                        configuration.path("lowest_applied").asLong(),
                        configuration.path("highest_applied").asLong(),
                        configuration.path("behind").asLong());
    }

    private static String fleet(JsonNode status) {
        long running = 0;
        long queued = 0;
        long capacity = 0;
        for (JsonNode endpoint : status.path("endpoints")) {
            running += endpoint.path("running").asLong();
            queued += endpoint.path("queued").asLong();
            capacity += endpoint.path("capacity").asLong();
        }
        return "%d daemons, %d endpoints, %d of %d slots run, %d requests queued"
                .formatted(
                        status.path("daemons").size(), status.path("endpoints").size(), running, capacity, queued);
    }

    private static String worstServed(JsonNode service) {
        String organisation = service.path("worst_served").asText("");
        if (organisation.isEmpty() || service.path("worst_served").isNull()) {
            return "no organisation has asked yet";
        }
        double percent = PERCENT * service.path("worst_served_share").asDouble();
        return String.format(Locale.ROOT, "%s, %.1f%% of its asks within the rate", organisation, percent);
    }

    private static void appendTable(StringBuilder text, String field, JsonNode status) {
        ArrayNode rows = status.withArray(field);
        text.append('\n').append(field).append(rows.isEmpty() ? ": none\n" : ":\n");
        if (!rows.isEmpty()) {
            text.append(TextTable.render(rows));
        }
    }
}
