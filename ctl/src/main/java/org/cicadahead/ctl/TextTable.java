package org.cicadahead.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Renders JSON as text: an array of objects as a table, an object as one line per field. */
final class TextTable {
    private static final String BODY = "body";

    private TextTable() {}

    static String render(JsonNode document) {
        StringBuilder text = new StringBuilder();
        append(document, "", text);
        return text.toString();
    }

    private static void append(JsonNode node, String indent, StringBuilder text) {
        if (node.isArray()) {
            appendList(node, indent, text);
        } else if (node.isObject()) {
            node.properties().forEach(field -> appendField(field, indent, text));
        } else {
            text.append(indent).append(node.asText()).append('\n');
        }
    }

    private static void appendField(Map.Entry<String, JsonNode> field, String indent, StringBuilder text) {
        JsonNode value = field.getValue();
        text.append(indent).append(field.getKey()).append(':');
        if (value.isEmpty()) {
            text.append(' ').append(cell(value)).append('\n');
        } else {
            text.append('\n');
            append(value, indent + "  ", text);
        }
    }

    private static void appendList(JsonNode list, String indent, StringBuilder text) {
        List<Map<String, String>> rows = new ArrayList<>();
        Set<String> columns = new LinkedHashSet<>();
        for (JsonNode element : list) {
            Map<String, String> row = new LinkedHashMap<>();
            flatten("", element, row);
            columns.addAll(row.keySet());
            rows.add(row);
        }
        Map<String, Integer> widths = new LinkedHashMap<>();
        for (String column : columns) {
            int width = column.length();
            for (Map<String, String> row : rows) {
                width = Math.max(width, row.getOrDefault(column, "").length());
            }
            widths.put(column, width);
        }
        if (!columns.equals(Set.of(""))) {
            Map<String, String> header = new LinkedHashMap<>();
            columns.forEach(column -> header.put(column, column));
            appendRow(header, widths, indent, text);
        }
        rows.forEach(row -> appendRow(row, widths, indent, text));
    }

    private static void appendRow(
            Map<String, String> row, Map<String, Integer> widths, String indent, StringBuilder text) {
        StringBuilder line = new StringBuilder(indent);
        widths.forEach((column, width) -> {
            String value = row.getOrDefault(column, "");
            line.append(value).append(" ".repeat(width - value.length() + 2));
        });
        text.append(line.toString().stripTrailing()).append('\n');
    }

    /** Flattens nested objects into columns of the row, so that a list of resources renders as one table. */
    private static void flatten(String prefix, JsonNode node, Map<String, String> row) {
        if (!node.isObject()) {
            row.put(prefix, cell(node));
            return;
        }
        node.properties().forEach(field -> flatten(column(prefix, field.getKey()), field.getValue(), row));
    }

    /** Returns the name of a column. The fields of a resource body get no prefix and appear next to its revision. */
    private static String column(String prefix, String field) {
        if (field.equals(BODY)) {
            return prefix;
        }
        return prefix.isEmpty() ? field : prefix + "." + field;
    }

    private static String cell(JsonNode node) {
        if (node.isArray()) {
            List<String> values = new ArrayList<>();
            node.forEach(value -> values.add(value.isValueNode() ? value.asText() : value.toString()));
            return values.isEmpty() ? "-" : String.join(",", values);
        }
        return node.isNull() || node.isObject() ? "-" : node.asText();
    }
}
