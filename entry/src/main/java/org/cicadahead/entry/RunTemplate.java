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

/** The properties that all attempts to run a request share. Creates their run requests. Immutable. */
final class RunTemplate {
    private final CallerRequest request;
    private final RequestTarget target;
    private final RequestPayload payload;
    private final RequestPayload.EndpointCall call;
    private final ProgramKey program;
    private final ProgramKey root;
    private final long attainedTokens;
    private final RequestDigest digest;

    RunTemplate(
            CallerRequest request,
            RequestTarget target,
            RequestPayload payload,
            RequestPayload.EndpointCall call,
            StepSession step) {
        this.request = request;
        this.target = target;
        this.payload = payload;
        this.call = call;
        this.program = step == null ? null : step.program();
        this.root = step == null ? null : step.root();
        this.attainedTokens = step == null ? 0 : step.spentTokens();
        this.digest = Json.digest(ChatPayload.utf8(call.method()), ChatPayload.utf8(call.path()), call.body());
    }

    ProgramKey program() {
        return program;
    }

    ProgramKey root() {
        return root;
    }

    /**
     * Returns the digest of the call to the endpoint. It does not depend on the caller or the program, so that a
     * request that crashes engines is recognized regardless of its sender.
     */
    RequestDigest digest() {
        return digest;
    }

    /** Returns whether a response completes a step. After other responses, the caller may send the step again. */
    boolean completesStep(RecordedResponse response, boolean claimed) {
        return RecordedResponse.isSuccess(response.status())
                || claimed
                || request.kind() == CallerRequest.Kind.SERVICE && response.status() < 500;
    }

    /** Returns the number of tokens that a run used, estimated if the endpoint did not report it. */
    long usedTokens(Usage usage, long responseBytes) {
        return usage == null
                ? call.promptTokens() + ChatPayload.estimateTokens(responseBytes)
                : usage.promptTokens() + usage.completionTokens();
    }

    ChoiceRequest choice(Set<EndpointId> avoided, Set<EndpointId> forbidden) {
        String model =
                target.route().target() == EndpointKind.ENGINE ? target.route().model() : "";
        return new ChoiceRequest(target.pool().name(), model, program, root, call.promptTokens(), avoided, forbidden);
    }

    RunRequest newRunRequest(ClaimRef claim, boolean alone, long deadlineMillis) {
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
                payload.isStreamedByEndpoint(),
                call.promptTokens(),
                payload.maxTokens(),
                deadlineMillis);
    }

    /** Returns the id of the request, for logs. */
    @Override
    public String toString() {
        return request.id().value();
    }
}
