package org.cicadahead.entry;

import java.util.Set;
import java.util.UUID;
import org.cicadahead.caller.CallerRequest;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.EndpointKind;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.model.RequestDigest;
import org.cicadahead.model.RunId;
import org.cicadahead.protocol.ClaimRef;
import org.cicadahead.protocol.RunRequest;
import org.cicadahead.protocol.Usage;
import org.cicadahead.routing.ChoiceRequest;

/** What all attempts to run a request have in common. Immutable. */
final class RunTemplate {
    private final CallerRequest request;
    private final RequestTarget target;
    private final RequestPayload work;
    private final RequestPayload.Call call;
    private final ProgramKey program;
    private final ProgramKey root;
    private final long attainedTokens;
    private final RequestDigest digest;

    RunTemplate(
            CallerRequest request,
            RequestTarget target,
            RequestPayload work,
            RequestPayload.Call call,
            StepSession step) {
        this.request = request;
        this.target = target;
        this.work = work;
        this.call = call;
        this.program = step == null ? null : step.program();
        this.root = step == null ? null : step.root();
        this.attainedTokens = step == null ? 0 : step.spentTokens();
        this.digest = Json.digest(ChatPayload.bytes(call.method()), ChatPayload.bytes(call.path()), call.body());
    }

    ProgramKey program() {
        return program;
    }

    ProgramKey root() {
        return root;
    }

    /**
     * Returns the digest of what the endpoint gets. It does not depend on the caller or the program, as a request that
     * crashes engines does so for whoever sends it.
     */
    RequestDigest digest() {
        return digest;
    }

    /** Returns whether an answer completes a step; after other answers the step may be sent again. */
    boolean records(RecordedResponse answer, boolean claimed) {
        return RecordedResponse.isSuccess(answer.status())
                || claimed
                || request.kind() == CallerRequest.Kind.SERVICE && answer.status() < 500;
    }

    /** Returns the tokens that a run used, estimated if the endpoint does not tell them. */
    long usedTokens(Usage usage, long answerBytes) {
        return usage == null
                ? call.promptTokens() + ChatPayload.tokens(answerBytes)
                : usage.promptTokens() + usage.completionTokens();
    }

    ChoiceRequest choice(Set<EndpointId> avoided, Set<EndpointId> forbidden) {
        String model =
                target.route().target() == EndpointKind.ENGINE ? target.route().model() : "";
        return new ChoiceRequest(target.pool().name(), model, program, root, call.promptTokens(), avoided, forbidden);
    }

    RunRequest attempt(ClaimRef claim, boolean alone, long deadlineMillis) {
        double weight = target.limits() == null ? 1 : target.limits().weight();
        return new RunRequest(
                RunId.of(UUID.randomUUID().toString()),
                target.organisation(),
                weight,
                program,
                root,
                attainedTokens,
                claim,
                target.route().name(),
                target.pool().policy(),
                digest,
                alone,
                call.method(),
                call.path(),
                call.headers(),
                call.body(),
                work.isRelayed(),
                call.promptTokens(),
                work.maxTokens(),
                deadlineMillis);
    }

    /** Returns the request, for logs. */
    @Override
    public String toString() {
        return request.id().value();
    }
}
