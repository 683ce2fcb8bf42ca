package org.cicadahead.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.cicadahead.caller.CallerRequest;
import org.cicadahead.caller.CallerResponse;
import org.cicadahead.caller.Refusal;
import org.cicadahead.caller.RefusalException;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.protocol.Done;
import org.cicadahead.protocol.EndProgram;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.ProgramView;
import org.cicadahead.protocol.ReadProgram;
import org.cicadahead.protocol.Refused;
import org.jboss.logging.Logger;

/** Handles the requests of organisations to read or to end their programs. Thread-safe. */
final class ProgramRequestHandler {
    private static final Logger LOG = Logger.getLogger("cicadahead.entry");
    private static final Map<String, String> JSON = Map.of("Content-Type", "application/json");

    private final EntryContext context;

    ProgramRequestHandler(EntryContext context) {
        this.context = context;
    }

    void serve(CallerRequest request, CallerResponse response) {
        ProgramKey program;
        try {
            if (!context.isLeased()) {
                throw new RefusalException(RefusalReason.CONFIGURATION_LEASE_EXPIRED, "");
            }
            program = ProgramKey.of(
                    RequestTarget.organisation(context.replica(), request.key()).name(), request.target());
        } catch (RefusalException e) {
            response.refuse(e.refusal());
            return;
        }
        boolean read = request.kind() == CallerRequest.Kind.READ_PROGRAM;
        Message message = read ? new ReadProgram(program, 1) : new EndProgram(program, "the caller ended it");
        CompletableFuture<Message> reply =
                context.control().call(message, Message.class, StepSession.CONTROL_TIMEOUT_MILLIS);
        reply.whenCompleteAsync((result, failure) -> respond(result, failure, read, response), context.workers());
    }

    /**
     * Responds to the caller. If control does not reply to a request to end a program, the program may have ended. The
     * refusal then has not_run = false, although such a request never runs on an endpoint.
     */
    private static void respond(Message reply, Throwable failure, boolean read, CallerResponse response) {
        if (failure != null) {
            response.refuse(
                    Refusal.of(read ? RefusalReason.CONTROL_UNAVAILABLE : RefusalReason.OUTCOME_UNCONFIRMED, read, ""));
        } else if (reply instanceof Refused refused) {
            response.refuse(Refusal.before(refused.reason(), refused.detail()));
        } else if (reply instanceof Done done && done.accepted()) {
            response.complete(204, Map.of(), new byte[0]);
        } else if (reply instanceof Done) {
            response.refuse(Refusal.before(RefusalReason.PROGRAM_UNKNOWN, ""));
        } else if (reply instanceof ProgramView view) {
            try {
                response.complete(200, JSON, Json.write(json(view)));
            } catch (IllegalStateException e) {
                LOG.errorf(e, "entry: Failed to decode the history of a program");
                response.refuse(Refusal.before(RefusalReason.INTERNAL_ERROR, ""));
            }
        } else {
            response.refuse(Refusal.before(RefusalReason.INTERNAL_ERROR, ""));
        }
    }

    private static ObjectNode json(ProgramView view) {
        ObjectNode json = Json.object();
        json.put("program", view.program().program().value());
        json.put("root", view.root().program().value());
        json.put("next_step", view.nextStep());
        json.put("spent_tokens", view.spentTokens());
        json.put("reserved_tokens", view.reservedTokens());
        json.put("budget_tokens", view.budgetTokens());
        json.put("ended", view.ended());
        json.set("messages", History.messages(view.history()));
        return json;
    }
}
