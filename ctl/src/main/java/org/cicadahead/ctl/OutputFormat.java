package org.cicadahead.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Function;

/** The formats of the output. */
enum OutputFormat {
    /** Tables and lines for people. */
    TEXT(TextTable::render),
    /** JSON as control answers it. */
    JSON(node -> node.toPrettyString() + "\n");

    private final Function<JsonNode, String> renderer;

    OutputFormat(Function<JsonNode, String> renderer) {
        this.renderer = renderer;
    }

    /** Returns a document in this format, with a line break at its end. */
    String render(JsonNode document) {
        return renderer.apply(document);
    }
}
