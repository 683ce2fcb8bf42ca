package org.cicadahead.ctl;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import org.cicadahead.wire.Codec;
import org.eclipse.jetty.http.HttpMethod;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The commands that manage the API keys of callers. */
@Command(
        name = "keys",
        mixinStandardHelpOptions = true,
        description = "Creates, revokes and lists caller keys.",
        subcommands = {KeysCommand.Create.class, KeysCommand.Revoke.class, KeysCommand.ListKeys.class})
final class KeysCommand {

    private KeysCommand() {}

    /** Creates a key and shows it once. */
    @Command(
            name = "create",
            description = {
                "Creates a key and shows it once.",
                "If the response with the key was lost, it shows the digest to revoke and exits with code 1."
            })
    static final class Create extends AbstractCommand {
        @Parameters(paramLabel = "ORGANISATION")
        private String organisation;

        @Option(
                names = "--label",
                paramLabel = "TEXT",
                description = "A label that tells operators what the key is for.")
        private String label;

        @Override
        ExitCode run(AdminClient client) throws CtlException {
            ObjectNode body = Codec.json().createObjectNode().put("organisation", organisation);
            if (label != null) {
                body.put("label", label);
            }
            AdminReply reply = client.call(HttpMethod.POST, Paths.KEYS, Map.of(), body);
            show(reply, "key of " + organisation);
            return reply.body().has("key") ? ExitCode.DONE : ExitCode.REFUSED;
        }
    }

    /** Revokes a key by its digest. */
    @Command(name = "revoke", description = "Revokes a key; running streams end within seconds.")
    static final class Revoke extends AbstractCommand {
        @Parameters(paramLabel = "DIGEST", description = "The digest of the key, or a unique prefix of it.")
        private String digest;

        @Override
        ExitCode run(AdminClient client) throws CtlException {
            client.call(HttpMethod.DELETE, Paths.key(digest), Map.of(), null).orThrow("key " + digest);
            print(Codec.json().createObjectNode().put("digest", digest).put("outcome", "revoked"));
            return ExitCode.DONE;
        }
    }

    /** Lists the digests of all keys. */
    @Command(name = "list", description = "Lists the digests of all keys.")
    static final class ListKeys extends AbstractCommand {

        @Override
        ExitCode run(AdminClient client) throws CtlException {
            return show(client.get(Paths.KEYS), "keys");
        }
    }
}
