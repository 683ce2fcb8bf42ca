package org.cicadahead.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.cicadahead.model.ResourceKind;
import org.cicadahead.wire.Codec;
import picocli.CommandLine.Command;

/** Prints the configuration as a document that {@code apply} takes, without revisions and without keys. */
@Command(
        name = "export",
        description = {
            "Prints all organisations, pools and routes as a JSON document that 'apply -f' takes.",
            "Keys are not part of it, as control knows only their digests."
        })
final class ExportCommand extends AbstractCommand {
    private static final List<ResourceKind> KINDS =
            List.of(ResourceKind.ORGANISATION, ResourceKind.POOL, ResourceKind.ROUTE);
    private static final int MAX_ATTEMPTS = 5;

    @Override
    ExitCode run(AdminClient client) throws CtlException {
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            ObjectNode document = Codec.json().createObjectNode();
            if (read(client, document)) {
                printJson(document);
                return ExitCode.DONE;
            }
        }
        throw new CtlException(ExitCode.CONFLICT, "The configuration changed during the export; try again", null);
    }

    /** Returns false if the revision changed between the reads, as the parts may then not fit each other. */
    private static boolean read(AdminClient client, ObjectNode document) throws CtlException {
        long revision = -1;
        for (ResourceKind kind : KINDS) {
            JsonNode list = client.get(Paths.kind(kind)).orThrow(kind.plural()).body();
            long current = list.path("revision").asLong();
            if (revision >= 0 && revision != current) {
                return false;
            }
            revision = current;
            ArrayNode resources = document.putArray(kind.plural());
            list.path("items").forEach(item -> resources.add(item.path("body")));
        }
        return true;
    }
}
