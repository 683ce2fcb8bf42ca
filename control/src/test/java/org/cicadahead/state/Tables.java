package org.cicadahead.state;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cicadahead.model.ClaimKey;
import org.cicadahead.model.DaemonId;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.IdempotencyKey;
import org.cicadahead.model.OrganisationId;
import org.cicadahead.model.ProgramId;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.model.RequestDigest;
import org.cicadahead.model.RouteName;
import org.cicadahead.model.RunId;
import org.cicadahead.protocol.AbandonStep;
import org.cicadahead.protocol.BeginClaim;
import org.cicadahead.protocol.BeginStep;
import org.cicadahead.protocol.ClaimRef;
import org.cicadahead.protocol.Command;
import org.cicadahead.protocol.Done;
import org.cicadahead.protocol.FinishStep;
import org.cicadahead.protocol.HistoryRecord;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.StartClaim;
import org.cicadahead.protocol.StepRef;
import org.cicadahead.protocol.StepReply;

/** The replicated tables with in-memory histories and a settable clock. */
final class Tables implements HistorySink {
    static final OrganisationId ACME = OrganisationId.of("acme");
    static final ProgramKey P = program("p");
    static final EndpointId E1 = EndpointId.of("e1");
    static final EndpointId E2 = EndpointId.of("e2");

    final Map<ProgramKey, List<HistoryRecord>> histories = new HashMap<>();
    ControlState state = ControlState.create(this);
    long now = 1_000_000;

    static ProgramKey program(String id) {
        return ProgramKey.of(ACME, ProgramId.of(id));
    }

    static ClaimKey key(String id) {
        return ClaimKey.of(ACME, IdempotencyKey.of(id));
    }

    static RequestDigest digest(int number) {
        return RequestDigest.of(String.format("%016x", number) + "0".repeat(48));
    }

    static BeginStep step(ProgramKey program, ProgramKey parent, int step, long reserve, String nonce) {
        return new BeginStep(
                program,
                parent == null ? null : parent.program(),
                step,
                digest(step),
                RouteName.of("chat"),
                reserve,
                1_000,
                50,
                60_000,
                0,
                DaemonId.of("entry"),
                nonce);
    }

    static FinishStep finish(ProgramKey program, int step, long fence, long used, boolean end) {
        byte[] text = (program + " " + step).getBytes(StandardCharsets.UTF_8);
        return new FinishStep(new StepRef(program, step, fence), used, text, text, end);
    }

    static AbandonStep abandon(ProgramKey program, int step, long fence, long used) {
        return new AbandonStep(new StepRef(program, step, fence), used);
    }

    static BeginClaim claim(String key, int digest, String nonce) {
        return new BeginClaim(key(key), digest(digest), RouteName.of("book"), DaemonId.of("entry"), nonce);
    }

    static StartClaim start(String key, long fence, String run) {
        return new StartClaim(new ClaimRef(key(key), fence), E1, 1, RunId.of(run));
    }

    Message apply(Command command) {
        try {
            return state.apply(now, command);
        } catch (HistoryException e) {
            throw new AssertionError(e);
        }
    }

    /** Applies a command and returns whether it was accepted. */
    boolean submit(Command command) {
        return ((Done) apply(command)).accepted();
    }

    StepReply begin(ProgramKey program, ProgramKey parent, int step, long reserve, String nonce) {
        return (StepReply) apply(step(program, parent, step, reserve, nonce));
    }

    @Override
    public void append(ProgramKey program, HistoryRecord step) throws HistoryException {
        List<HistoryRecord> steps = histories.computeIfAbsent(program, p -> new ArrayList<>());
        if (step.step() != steps.size() + 1) {
            throw new HistoryException("step " + step.step() + " follows " + steps.size(), null);
        }
        steps.add(step);
    }

    @Override
    public void delete(ProgramKey program) {
        histories.remove(program);
    }
}
