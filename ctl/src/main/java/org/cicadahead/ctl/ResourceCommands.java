package org.cicadahead.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.cicadahead.model.ResourceKind;
import org.cicadahead.wire.Codec;
import org.eclipse.jetty.http.HttpMethod;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The commands that read and change routes, pools and organisations. */
final class ResourceCommands {
    private static final Map<String, String> MUST_NOT_EXIST = Map.of("If-None-Match", "*");

    private ResourceCommands() {}

    private static Map<String, String> precondition(long revision) {
        return revision == 0 ? MUST_NOT_EXIST : Map.of("If-Match", "\"" + revision + "\"");
    }

    private static ObjectNode resultRow(ResourceDocument document, String outcome, long revision) {
        return Codec.json()
                .createObjectNode()
                .put("kind", document.kind().code())
                .put("name", document.name())
                .put("outcome", outcome)
                .put("revision", revision);
    }

    /** Returns the current resource in the canonical form of {@link ResourceDocument}, or an empty object if none. */
    private static JsonNode currentResource(AdminReply reply, ResourceDocument document) throws CtlException {
        if (reply.isNotFound()) {
            return Codec.json().createObjectNode();
        }
        JsonNode resource = reply.orThrow(document.label()).resource();
        try {
            return ResourceDocument.canonical(
                    Codec.json().treeToValue(resource, document.kind().type()));
        } catch (JsonProcessingException e) {
            throw new CtlException(
                    ExitCode.REFUSED, document.label() + ": control returned an invalid resource: " + resource, e);
        }
    }

    /** Shows one resource, or all resources of a kind. */
    @Command(name = "get", description = "Shows a resource, or all resources of a kind.")
    static final class Get extends AbstractCommand {
        @Parameters(index = "0", paramLabel = "KIND", description = "routes, pools or organisations.")
        private ResourceKind kind;

        @Parameters(index = "1", arity = "0..1", paramLabel = "NAME")
        private String name;

        @Override
        ExitCode run(AdminClient client) throws CtlException {
            String path = name == null ? Paths.kind(kind) : Paths.resource(kind, name);
            return show(client.get(path), kind.code() + (name == null ? "" : " " + name));
        }
    }

    /** Creates or replaces the resources listed in a file. */
    @Command(name = "apply", description = "Creates or replaces the resources listed in a JSON or TOML file.")
    static final class Apply extends AbstractCommand {
        @Option(names = "-f", required = true, paramLabel = "FILE", description = "A .json or .toml file.")
        private Path file;

        @Override
        ExitCode run(AdminClient client) throws CtlException {
            List<ResourceDocument> documents = ResourceDocument.read(file);
            ArrayNode rows = Codec.json().createArrayNode();
            try {
                for (ResourceDocument document : documents) {
                    rows.add(apply(client, document));
                }
            } finally {
                if (!rows.isEmpty()) {
                    print(rows);
                }
            }
            return ExitCode.DONE;
        }

        private static ObjectNode apply(AdminClient client, ResourceDocument document) throws CtlException {
            AdminReply current = client.get(document.path());
            if (document.revision() == null
                    && currentResource(current, document).equals(document.body())) {
                return resultRow(document, "unchanged", current.revision());
            }
            long currentRevision = current.isNotFound() ? 0 : current.revision();
            long expectedRevision = document.revision() == null ? currentRevision : document.revision();
            AdminReply reply = client.call(
                            HttpMethod.PUT, document.path(), precondition(expectedRevision), document.body())
                    .orThrow(document.label());
            return resultRow(document, expectedRevision == 0 ? "created" : "changed", reply.revision());
        }
    }

    /** Compares the resources listed in a file with the current ones. */
    @Command(
            name = "diff",
            description = "Shows how the resources in a file differ from the current ones; exit code 1 if any differ.")
    static final class Diff extends AbstractCommand {
        @Option(names = "-f", required = true, paramLabel = "FILE", description = "A .json or .toml file.")
        private Path file;

        @Override
        ExitCode run(AdminClient client) throws CtlException {
            ArrayNode differences = Codec.json().createArrayNode();
            for (ResourceDocument document : ResourceDocument.read(file)) {
                addDifferences(currentResource(client.get(document.path()), document), document, differences);
            }
            if (!differences.isEmpty()) {
                print(differences);
            }
            return differences.isEmpty() ? ExitCode.DONE : ExitCode.REFUSED;
        }

        private static void addDifferences(JsonNode currentBody, ResourceDocument document, ArrayNode differences) {
            for (Map.Entry<String, JsonNode> field : document.body().properties()) {
                JsonNode currentValue = currentBody.get(field.getKey());
                if (!field.getValue().equals(currentValue)) {
                    ObjectNode difference = differences.addObject();
                    difference.put("resource", document.label()).put("field", field.getKey());
                    difference.set("current", currentValue);
                    difference.set("wanted", field.getValue());
                }
            }
        }
    }

    /** Deletes a resource. */
    @Command(name = "delete", description = "Deletes a resource.")
    static final class Delete extends AbstractCommand {
        @Parameters(index = "0", paramLabel = "KIND", description = "routes, pools or organisations.")
        private ResourceKind kind;

        @Parameters(index = "1", paramLabel = "NAME")
        private String name;

        @Option(
                names = "--revision",
                paramLabel = "N",
                description = "The expected revision. Default: the current revision.")
        private Long revision;

        @Override
        ExitCode run(AdminClient client) throws CtlException {
            String path = Paths.resource(kind, name);
            String label = kind.code() + " " + name;
            long expectedRevision =
                    revision == null ? client.get(path).orThrow(label).revision() : revision;
            AdminReply reply = client.call(HttpMethod.DELETE, path, precondition(expectedRevision), null)
                    .orThrow(label);
            ObjectNode row = Codec.json().createObjectNode();
            row.put("kind", kind.code()).put("name", name).put("outcome", "deleted");
            if (reply.revision() >= 0) {
                row.put("revision", reply.revision());
            }
            print(Codec.json().createArrayNode().add(row));
            return ExitCode.DONE;
        }
    }
}
