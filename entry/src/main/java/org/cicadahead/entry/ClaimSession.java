package org.cicadahead.entry;

import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.cicadahead.caller.CallerRequest;
import org.cicadahead.model.ClaimKey;
import org.cicadahead.protocol.BeginClaim;
import org.cicadahead.protocol.ClaimRef;
import org.cicadahead.protocol.ClaimReply;
import org.cicadahead.protocol.Done;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.ReleaseClaim;

/** The claim of a request that may not be repeated. Not safe for use by several threads. */
final class ClaimSession {
    private final EntryContext context;
    private final Target target;
    private final Work work;
    private final ClaimKey key;
    private ClaimRef claim;

    ClaimSession(EntryContext context, CallerRequest request, Target target, Work work) {
        this.context = context;
        this.target = target;
        this.work = work;
        this.key = ClaimKey.of(target.organisation(), request.idempotencyKey());
    }

    ClaimRef claim() {
        return claim;
    }

    /** Takes the claim, or looks up what became of it. Each call is an attempt of its own. */
    CompletableFuture<Message> begin() {
        claim = null;
        String nonce = UUID.randomUUID().toString();
        BeginClaim begin = new BeginClaim(key, work.digest(), target.route().name(), context.daemon(), nonce);
        return context.control().call(begin, Message.class, StepSession.CONTROL_TIMEOUT_MILLIS);
    }

    void granted(ClaimReply reply) {
        claim = new ClaimRef(key, reply.fence());
    }

    /** Closes the claim; true if control has committed that it was not started and cannot start. */
    CompletableFuture<Boolean> release() {
        if (claim == null) {
            return CompletableFuture.completedFuture(false);
        }
        ClaimRef held = claim;
        return context.control()
                .call(new ReleaseClaim(held), Done.class, StepSession.CONTROL_TIMEOUT_MILLIS)
                .handle((done, failure) -> failure == null && done.accepted());
    }
}
