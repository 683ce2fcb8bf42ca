package org.cicadahead.ctl;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import org.cicadahead.wire.Codec;
import org.eclipse.jetty.http.HttpMethod;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The commands that show and change the state of the running fleet. */
final class FleetCommands {

    private FleetCommands() {}

    /** Shows the state of the fleet. */
    @Command(name = "status", description = "Summarises the fleet, its revisions, replicas and service.")
    static final class Status extends AbstractCommand {

        @Override
        ExitCode run(AdminClient client) throws CtlException {
            return show(client.get(Paths.STATUS), "status", StatusText::render);
        }
    }

    /** Drains an endpoint, so that it gets no new requests. */
    @Command(name = "drain", description = "Drains an endpoint: it gets no new requests; running requests finish.")
    static final class Drain extends AbstractCommand {
        @Parameters(paramLabel = "ENDPOINT")
        private String endpoint;

        @Override
        ExitCode run(AdminClient client) throws CtlException {
            client.call(HttpMethod.POST, Paths.drain(endpoint), Map.of(), null).orThrow("endpoint " + endpoint);
            print(Codec.json().createObjectNode().put("endpoint", endpoint).put("outcome", "draining"));
            return ExitCode.DONE;
        }
    }

    /** Shows the state of a program and the placement of its steps. */
    @Command(name = "explain", description = "Shows the state of a program and where and why its steps ran.")
    static final class Explain extends AbstractCommand {
        @Parameters(paramLabel = "ORGANISATION/PROGRAM")
        private String program;

        @Override
        ExitCode run(AdminClient client) throws CtlException {
            int slash = program.indexOf('/');
            if (slash <= 0 || slash == program.length() - 1) {
                throw CtlException.usage("The program must have the form ORGANISATION/PROGRAM: " + program, null);
            }
            String path = Paths.program(program.substring(0, slash), program.substring(slash + 1));
            return show(client.get(path), "program " + program, ExplainText::render);
        }
    }

    /** Shows the control replicas; subcommands add and remove them. */
    @Command(
            name = "members",
            description = "Shows, adds and removes control replicas.",
            subcommands = {AddMember.class, RemoveMember.class})
    static final class Members extends AbstractCommand {

        @Override
        ExitCode run(AdminClient client) throws CtlException {
            return show(client.get(Paths.MEMBERS), "members");
        }
    }

    /** Adds a control replica as a non-voter. */
    @Command(name = "add", description = "Adds a replica as a non-voter, which becomes a voter once it has caught up.")
    static final class AddMember extends AbstractCommand {
        @Parameters(paramLabel = "REPLICA", description = "The replica id that the new process logs at startup.")
        private String replica;

        @Option(
                names = "--address",
                required = true,
                paramLabel = "HOST:PORT",
                description = "The daemon address of the replica.")
        private String address;

        @Override
        ExitCode run(AdminClient client) throws CtlException {
            ObjectNode body = Codec.json().createObjectNode().put("address", address);
            client.call(HttpMethod.PUT, Paths.member(replica), Map.of(), body).orThrow("replica " + replica);
            print(Codec.json().createObjectNode().put("replica", replica).put("outcome", "added"));
            return ExitCode.DONE;
        }
    }

    /** Removes a control replica. */
    @Command(name = "remove", description = "Removes a replica.")
    static final class RemoveMember extends AbstractCommand {
        @Parameters(paramLabel = "REPLICA")
        private String replica;

        @Override
        ExitCode run(AdminClient client) throws CtlException {
            client.call(HttpMethod.DELETE, Paths.member(replica), Map.of(), null)
                    .orThrow("replica " + replica);
            print(Codec.json().createObjectNode().put("replica", replica).put("outcome", "removed"));
            return ExitCode.DONE;
        }
    }
}
