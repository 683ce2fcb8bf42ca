package org.cicadahead.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.cicadahead.model.Resource;
import org.cicadahead.model.ResourceKind;
import org.cicadahead.wire.Codec;

/**
 * A resource as an operator wants it. Immutable.
 *
 * <p>A file holds lists by kind, for example {@code [[routes]]} in TOML or {@code {"routes": [...]}} in JSON. A
 * resource may name the {@code revision} that the edit is based on.
 *
 * @param kind the kind
 * @param name the name
 * @param revision the expected revision, 0 if the resource must not exist, or null for the current one
 * @param body the resource with its defaults
 */
record Document(ResourceKind kind, String name, Long revision, JsonNode body) {
    private static final String REVISION = "revision";
    /** Routes refer to pools and organisations, which have to exist first. */
    private static final List<ResourceKind> APPLY_ORDER =
            List.of(ResourceKind.ORGANISATION, ResourceKind.POOL, ResourceKind.ROUTE);

    /**
     * Reads a file.
     *
     * @param file a file whose name ends in {@code .toml} or {@code .json}
     * @return the resources in the order in which they are applied
     * @throws CtlException if the file cannot be read or a resource is not valid
     */
    static List<Document> read(Path file) throws CtlException {
        ObjectMapper mapper = file.toString().endsWith(".toml") ? new TomlMapper() : Codec.json();
        JsonNode root;
        try {
            root = mapper.readTree(Files.readString(file));
        } catch (JsonProcessingException e) {
            throw CtlException.usage(file + ": " + e.getOriginalMessage(), e);
        } catch (IOException e) {
            throw CtlException.usage(file + ": cannot be read", e);
        }
        List<Document> documents = new ArrayList<>();
        for (Map.Entry<String, JsonNode> list : root.properties()) {
            for (JsonNode element : list.getValue()) {
                documents.add(parse(file, kind(file, list.getKey()), element));
            }
        }
        documents.sort(Comparator.comparingInt(document -> APPLY_ORDER.indexOf(document.kind)));
        return List.copyOf(documents);
    }

    /** Returns a resource as JSON with sorted sets, so that equal resources give equal documents. */
    static JsonNode canonical(Resource resource) {
        ObjectNode fields = Codec.json().valueToTree(resource);
        for (Map.Entry<String, JsonNode> field : fields.properties()) {
            if (field.getValue() instanceof ArrayNode list) {
                List<JsonNode> sorted = new ArrayList<>();
                list.forEach(sorted::add);
                sorted.sort(Comparator.comparing(JsonNode::asText));
                list.removeAll().addAll(sorted);
            }
        }
        return fields;
    }

    /** Returns the path of the resource in the admin API. */
    String path() {
        return Paths.resource(kind, name);
    }

    /** Returns the kind and the name, as messages write them. */
    String label() {
        return kind.code() + " " + name;
    }

    private static ResourceKind kind(Path file, String code) throws CtlException {
        ResourceKind kind;
        try {
            kind = ResourceKind.of(code);
        } catch (IllegalArgumentException e) {
            throw CtlException.usage(file + ": unknown kind " + code, e);
        }
        if (!APPLY_ORDER.contains(kind)) {
            throw CtlException.usage(file + ": keys are created by 'cicadactl keys create'", null);
        }
        return kind;
    }

    private static Document parse(Path file, ResourceKind kind, JsonNode element) throws CtlException {
        if (!element.isObject()) {
            throw CtlException.usage(file + ": a " + kind.code() + " must be an object", null);
        }
        ObjectNode fields = element.deepCopy();
        JsonNode revision = fields.remove(REVISION);
        try {
            Resource resource = Codec.json().treeToValue(fields, kind.type());
            return new Document(
                    kind, resource.resourceName(), revision == null ? null : revision.asLong(), canonical(resource));
        } catch (JsonProcessingException e) {
            String name = element.path("name").asText("without a name");
            throw CtlException.usage(file + ": " + kind.code() + " " + name + ": " + e.getOriginalMessage(), e);
        }
    }
}
