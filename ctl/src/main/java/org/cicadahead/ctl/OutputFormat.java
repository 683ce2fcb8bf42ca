package org.cicadahead.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.BiFunction;
import java.util.function.Function;

/** The formats of the output. */
enum OutputFormat {
    /** Tables and lines for people. */
    TEXT((node, text) -> text.apply(node)),
    /** JSON as control answers it. */
    JSON((node, text) -> node.toPrettyString() + "\n");

    private final BiFunction<JsonNode, Function<JsonNode, String>, String> renderer;

    OutputFormat(BiFunction<JsonNode, Function<JsonNode, String>, String> renderer) {
        this.renderer = renderer;
    }

    /** Returns a document in this format, with a line break at its end; people get what {@code text} makes of it. */
    String render(JsonNode document, Function<JsonNode, String> text) {
        return renderer.apply(document, text);
    }
}
