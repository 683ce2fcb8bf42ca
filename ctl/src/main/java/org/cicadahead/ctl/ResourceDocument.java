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
 * The desired state of a resource, as read from a file. Immutable.
 *
 * <p>A file lists resources by kind, for example {@code [[routes]]} in TOML or {@code {"routes": [...]}} in JSON. A
 * resource may state the {@code revision} that the edit is based on.
 *
 * @param kind the kind of the resource
 * @param name the name of the resource
 * @param revision the expected revision, 0 if the resource must not exist, or null to accept the current one
 * @param body the resource in canonical form, with defaults filled in
 */
record ResourceDocument(ResourceKind kind, String name, Long revision, JsonNode body) {
    private static final String REVISION = "revision";
    /** Routes refer to pools and organisations, which must exist first. */
    private static final List<ResourceKind> APPLY_ORDER =
            List.of(ResourceKind.ORGANISATION, ResourceKind.POOL, ResourceKind.ROUTE);

    /**
     * Reads the resources of a file.
     *
     * @param file the file; TOML if its name ends in {@code .toml}, JSON otherwise
     * @return the resources in the order in which to apply them
     * @throws CtlException if the file cannot be read or a resource is invalid
     */
    static List<ResourceDocument> read(Path file) throws CtlException {
        ObjectMapper mapper = file.toString().endsWith(".toml") ? new TomlMapper() : Codec.json();
        JsonNode root;
        try {
            root = mapper.readTree(Files.readString(file));
        } catch (JsonProcessingException e) {
            throw CtlException.usage(file + ": " + e.getOriginalMessage(), e);
        } catch (IOException e) {
            throw CtlException.usage(file + ": cannot be read", e);
        }
        List<ResourceDocument> documents = new ArrayList<>();
        for (Map.Entry<String, JsonNode> list : root.properties()) {
            for (JsonNode element : list.getValue()) {
                documents.add(parse(file, parseKind(file, list.getKey()), element));
            }
        }
        documents.sort(Comparator.comparingInt(document -> APPLY_ORDER.indexOf(document.kind)));
        return List.copyOf(documents);
    }

    /** Returns a resource as JSON with its arrays sorted, so that equal resources compare equal. */
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

    /** Returns the kind and the name for use in messages. */
    String label() {
        return kind.code() + " " + name;
    }

    private static ResourceKind parseKind(Path file, String code) throws CtlException {
        ResourceKind kind;
        try {
            kind = ResourceKind.of(code);
        } catch (IllegalArgumentException e) {
            throw CtlException.usage(file + ": unknown kind " + code, e);
        }
        if (!APPLY_ORDER.contains(kind)) {
            throw CtlException.usage(file + ": keys cannot be applied; create them with 'cicadactl keys create'", null);
        }
        return kind;
    }

    private static ResourceDocument parse(Path file, ResourceKind kind, JsonNode element) throws CtlException {
        if (!element.isObject()) {
            throw CtlException.usage(file + ": each " + kind.code() + " must be an object", null);
        }
        ObjectNode fields = element.deepCopy();
        JsonNode revision = fields.remove(REVISION);
        try {
            Resource resource = Codec.json().treeToValue(fields, kind.type());
            return new ResourceDocument(
                    kind, resource.resourceName(), revision == null ? null : revision.asLong(), canonical(resource));
        } catch (JsonProcessingException e) {
            String name = element.path("name").asText("without a name");
            throw CtlException.usage(file + ": " + kind.code() + " " + name + ": " + e.getOriginalMessage(), e);
        }
    }
}
