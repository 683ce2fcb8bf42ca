package org.cicadahead.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.BiFunction;
import java.util.function.Function;

/** The output formats of the commands. */
enum OutputFormat {
    /** Human-readable tables and lines. */
    TEXT((node, textRenderer) -> textRenderer.apply(node)),
    /** JSON as returned by control, pretty-printed. */
    JSON((node, textRenderer) -> node.toPrettyString() + "\n");

    private final BiFunction<JsonNode, Function<JsonNode, String>, String> renderer;

    OutputFormat(BiFunction<JsonNode, Function<JsonNode, String>, String> renderer) {
        this.renderer = renderer;
    }

    /** Returns a document in this format, ending in a line break; {@code TEXT} uses {@code textRenderer}. */
    String render(JsonNode document, Function<JsonNode, String> textRenderer) {
        return renderer.apply(document, textRenderer);
    }
}
