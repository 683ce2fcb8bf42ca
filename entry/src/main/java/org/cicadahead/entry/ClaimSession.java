package org.cicadahead.entry;

import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import org.cicadahead.caller.CallerRequest;
import org.cicadahead.model.ClaimKey;
import org.cicadahead.protocol.BeginClaim;
import org.cicadahead.protocol.ClaimOutcome;
import org.cicadahead.protocol.ClaimRef;
import org.cicadahead.protocol.ClaimReply;
import org.cicadahead.protocol.Done;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.ReleaseClaim;

/** The claim of a request that may not be repeated. Not safe for use by several threads. */
final class ClaimSession {
    /** How often a pending claim is renewed, in milliseconds; control lets others take it over after 3 s. */
    private static final long RENEWAL_MILLIS = 1_000;

    private final EntryContext context;
    private final RequestTarget target;
    private final RequestPayload work;
    private final ClaimKey key;
    private ClaimRef claim;
    private BeginClaim attempt;
    private Future<?> renewal;

    ClaimSession(EntryContext context, CallerRequest request, RequestTarget target, RequestPayload work) {
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
        stopRenewal();
        claim = null;
        String nonce = UUID.randomUUID().toString();
        attempt = new BeginClaim(key, work.digest(), target.route().name(), context.daemon(), nonce);
        return context.control().call(attempt, Message.class, StepSession.CONTROL_TIMEOUT_MILLIS);
    }

    /** Keeps the claim while the request waits at an endpoint, until it starts or is released. */
    synchronized void granted(ClaimReply reply) {
        claim = new ClaimRef(key, reply.fence());
        renewLater(attempt, reply.fence());
    }

    /** Closes the claim; true if control has committed that it was not started and cannot start. */
    CompletableFuture<Boolean> release() {
        if (claim == null) {
            return CompletableFuture.completedFuture(false);
        }
        stopRenewal();
        ClaimRef held = claim;
        return context.control()
                .call(new ReleaseClaim(held), Done.class, StepSession.CONTROL_TIMEOUT_MILLIS)
                .handle((done, failure) -> failure == null && done.accepted());
    }

    private void renewLater(BeginClaim held, long fence) {
        renewal = context.after(RENEWAL_MILLIS, context.workers(), () -> renew(held, fence));
    }

    /** Sends the same attempt again; any answer but the same fencing token means that it is no longer pending. */
    private void renew(BeginClaim held, long fence) {
        context.control()
                .call(held, Message.class, StepSession.CONTROL_TIMEOUT_MILLIS)
                .whenComplete((answer, failure) -> continueRenewal(held, fence, answer, failure));
    }

    private synchronized void continueRenewal(BeginClaim held, long fence, Message answer, Throwable failure) {
        boolean pending =
                answer instanceof ClaimReply reply && reply.outcome() == ClaimOutcome.GRANTED && reply.fence() == fence;
        if (renewal != null && held == attempt && (failure != null || pending)) {
            renewLater(held, fence);
        }
    }

    private synchronized void stopRenewal() {
        if (renewal != null) {
            renewal.cancel(false);
            renewal = null;
        }
    }
}
