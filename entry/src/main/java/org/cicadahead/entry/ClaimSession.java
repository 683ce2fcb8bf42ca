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

/**
 * The claim of a request to a non-repeatable route. It ensures that the request runs at most once per idempotency key.
 * Not thread-safe.
 */
final class ClaimSession {
    /**
     * Interval between renewals of a pending claim in milliseconds. Control lets another attempt take over a claim that
     * was not renewed for 3 s.
     */
    private static final long RENEWAL_MILLIS = 1_000;

    private final EntryContext context;
    private final RequestTarget target;
    private final RequestPayload payload;
    private final ClaimKey key;
    private ClaimRef claim;
    private BeginClaim attempt;
    private Future<?> renewal;

    ClaimSession(EntryContext context, CallerRequest request, RequestTarget target, RequestPayload payload) {
        this.context = context;
        this.target = target;
        this.payload = payload;
        this.key = ClaimKey.of(target.organisation(), request.idempotencyKey());
    }

    ClaimRef claim() {
        return claim;
    }

    /** Acquires the claim, or looks up its outcome. Each call is a separate attempt with its own nonce. */
    CompletableFuture<Message> begin() {
        stopRenewal();
        claim = null;
        String nonce = UUID.randomUUID().toString();
        attempt = new BeginClaim(key, payload.digest(), target.route().name(), context.daemon(), nonce);
        return context.control().call(attempt, Message.class, StepSession.CONTROL_TIMEOUT_MILLIS);
    }

    /** Starts the renewal of a granted claim. It ends when the run starts or the claim is released. */
    synchronized void granted(ClaimReply reply) {
        claim = new ClaimRef(key, reply.fence());
        scheduleRenewal(attempt, reply.fence());
    }

    /**
     * Releases the claim. The future completes with true if control has committed that no run was started under the
     * claim and that none can start any more.
     */
    CompletableFuture<Boolean> release() {
        if (claim == null) {
            return CompletableFuture.completedFuture(false);
        }
        stopRenewal();
        ClaimRef pendingClaim = claim;
        return context.control()
                .call(new ReleaseClaim(pendingClaim), Done.class, StepSession.CONTROL_TIMEOUT_MILLIS)
                .handle((done, failure) -> failure == null && done.accepted());
    }

    private void scheduleRenewal(BeginClaim pendingAttempt, long fence) {
        renewal = context.schedule(RENEWAL_MILLIS, context.workers(), () -> renew(pendingAttempt, fence));
    }

    /**
     * Renews the claim by sending the same attempt again. A reply without the same fencing token means that the claim
     * is no longer pending.
     */
    private void renew(BeginClaim pendingAttempt, long fence) {
        context.control()
                .call(pendingAttempt, Message.class, StepSession.CONTROL_TIMEOUT_MILLIS)
                .whenComplete((reply, failure) -> continueRenewal(pendingAttempt, fence, reply, failure));
    }

    private synchronized void continueRenewal(BeginClaim pendingAttempt, long fence, Message reply, Throwable failure) {
        boolean pending = reply instanceof ClaimReply claimReply
                && claimReply.outcome() == ClaimOutcome.GRANTED
                && claimReply.fence() == fence;
        if (renewal != null && pendingAttempt == attempt && (failure != null || pending)) {
            scheduleRenewal(pendingAttempt, fence);
        }
    }

    private synchronized void stopRenewal() {
        if (renewal != null) {
            renewal.cancel(false);
            renewal = null;
        }
    }
}
