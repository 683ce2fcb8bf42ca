package org.cicadahead.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.cicadahead.model.ResourceKind;
import org.cicadahead.wire.Codec;
import picocli.CommandLine.Command;

/** Prints the configuration as a document for {@code apply}, without revisions and without keys. */
@Command(
        name = "export",
        description = {
            "Prints all organisations, pools and routes as a JSON document for 'apply -f'.",
            "Keys are not included, because control stores only their digests."
        })
final class ExportCommand extends AbstractCommand {
    private static final List<ResourceKind> KINDS =
            List.of(ResourceKind.ORGANISATION, ResourceKind.POOL, ResourceKind.ROUTE);
    private static final int MAX_ATTEMPTS = 5;

    @Override
    ExitCode run(AdminClient client) throws CtlException {
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            ObjectNode document = Codec.json().createObjectNode();
            if (readAtOneRevision(client, document)) {
                printJson(document);
                return ExitCode.DONE;
            }
        }
        throw new CtlException(ExitCode.CONFLICT, "The configuration changed during the export; try again", null);
    }

    /** Returns false if the revision changed between the reads, because the lists may then be inconsistent. */
    private static boolean readAtOneRevision(AdminClient client, ObjectNode document) throws CtlException {
        long revision = -1;
        for (ResourceKind kind : KINDS) {
            JsonNode list = client.get(Paths.kind(kind)).orThrow(kind.plural()).body();
            long listRevision = list.path("revision").asLong();
            if (revision >= 0 && revision != listRevision) {
                return false;
            }
            revision = listRevision;
            ArrayNode resources = document.putArray(kind.plural());
            list.path("items").forEach(item -> resources.add(item.path("body")));
        }
        return true;
    }
}
