package org.cicadahead.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.cicadahead.model.ProgramId;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.model.Route;
import org.cicadahead.protocol.AbandonStep;
import org.cicadahead.protocol.BeginStep;
import org.cicadahead.protocol.Done;
import org.cicadahead.protocol.EndProgram;
import org.cicadahead.protocol.FinishStep;
import org.cicadahead.protocol.HistoryRecord;
import org.cicadahead.protocol.ProgramView;
import org.cicadahead.protocol.RenewSteps;
import org.cicadahead.protocol.StepOutcome;
import org.cicadahead.protocol.StepRef;
import org.cicadahead.protocol.StepReply;
import org.cicadahead.protocol.StepsRenewed;

/**
 * Programs with their steps and token budgets. Not thread-safe.
 *
 * <p>The history of a program is deleted {@value #HISTORY_RETENTION_MILLIS} ms (10 min) after its end; until then a
 * resent step gets its recorded answer. The program itself is kept as ended for {@value #RETENTION_MILLIS} ms (1 h), so
 * that a late resend of its first step does not start it again. Non-repeatable requests are protected for longer, by
 * their claims.
 */
public final class ProgramTable {
    /** The lease of a running step, in milliseconds. */
    public static final long STEP_LEASE_MILLIS = 5_000;
    /** How long the history of an ended program is kept, in milliseconds. */
    public static final long HISTORY_RETENTION_MILLIS = 600_000;
    /** How long an ended program is kept, in milliseconds. */
    public static final long RETENTION_MILLIS = 3_600_000;
    /** Maximum depth of nested programs. Deeper sub-agents are refused, which bounds the work of each command. */
    public static final int MAX_DEPTH = 32;
    /**
     * The cause with which the leader ends idle programs. A command with this cause is refused if the program has been
     * active in the meantime; other causes end it in any case.
     */
    public static final String IDLE_CAUSE = "idle_limit";

    private static final Done NOT_FOUND = Done.refused("the program does not exist");
    private static final Done FENCED = Done.refused("another attempt has taken over the step");

    /** Ordered by creation, so that parents come before their sub-agents; the order is the same on every replica. */
    private final Map<ProgramKey, Program> programs = new LinkedHashMap<>();

    private final Deque<Program> historiesToDelete = new ArrayDeque<>();
    private final Deque<Program> endedInOrder = new ArrayDeque<>();
    private final EndedPrograms ended = new EndedPrograms();
    private final LongSupplier fenceCounter;
    private final HistorySink histories;

    ProgramTable(LongSupplier fenceCounter, HistorySink histories) {
        this.fenceCounter = fenceCounter;
        this.histories = histories;
    }

    /**
     * Returns the log of ended programs.
     *
     * @return the log
     */
    public EndedPrograms ended() {
        return ended;
    }

    /**
     * Returns the number of programs, including the ended ones that are still kept.
     *
     * @return the number
     */
    public int size() {
        return programs.size();
    }

    /**
     * Returns a program without its history.
     *
     * @param key the program
     * @return the program, if it is known
     */
    public Optional<ProgramView> view(ProgramKey key) {
        return Optional.ofNullable(programs.get(key))
                .map(p -> new ProgramView(
                        p.key,
                        p.root.key,
                        p.nextStep(),
                        p.root.spentTokens,
                        p.root.reservedTokens,
                        p.root.budgetTokens,
                        p.isEnded(),
                        List.of()));
    }

    /**
     * Returns whether a program has ended or is not known.
     *
     * @param key the program
     * @return true if it has ended or is not known
     */
    public boolean isEndedOrUnknown(ProgramKey key) {
        Program program = programs.get(key);
        return program == null || program.isEnded();
    }

    /**
     * Returns programs without activity for at least their idle limit.
     *
     * @param nowMillis the present leader time
     * @param limit the maximum number of programs to return
     * @return the programs, ordered by key
     */
    public List<ProgramKey> idlePrograms(long nowMillis, int limit) {
        return programs.values().stream()
                .filter(p -> p.isIdle(nowMillis))
                .map(p -> p.key)
                .sorted()
                .limit(limit)
                .toList();
    }

    StepReply begin(long nowMillis, BeginStep command) {
        Program program = programs.get(command.program());
        if (program == null) {
            return create(nowMillis, command);
        }
        if (command.step() < program.nextStep()) {
            return replyToFinishedStep(program, command);
        }
        if (program.isEnded()) {
            return refused(StepOutcome.ENDED, program);
        }
        if (command.step() > program.nextStep()) {
            return refused(StepOutcome.OUT_OF_ORDER, program);
        }
        if (program.running != null && program.running.nonce().equals(command.nonce())) {
            program.running = program.running.renewed(nowMillis + STEP_LEASE_MILLIS);
            program.recordActivity(nowMillis);
            return granted(program);
        }
        if (program.running != null && program.running.untilMillis() > nowMillis) {
            return refused(StepOutcome.RUNNING, program);
        }
        return startAttempt(nowMillis, program, command);
    }

    StepsRenewed renew(long nowMillis, RenewSteps command) {
        List<StepRef> lost = new ArrayList<>();
        for (StepRef step : command.steps()) {
            Program program = programs.get(step.program());
            if (program == null || !isCurrent(program, step)) {
                lost.add(step);
            } else {
                program.running = program.running.renewed(nowMillis + STEP_LEASE_MILLIS);
                program.recordActivity(nowMillis);
            }
        }
        return new StepsRenewed(lost);
    }

    Done finish(long nowMillis, FinishStep command) throws HistoryException {
        StepRef step = command.step();
        Program program = programs.get(step.program());
        if (program == null) {
            return NOT_FOUND;
        }
        long used = Math.max(0, command.usedTokens());
        if (!isCurrent(program, step)) {
            program.settleLate(step.fence(), used);
            boolean resent = step.step() >= 1
                    && step.step() < program.nextStep()
                    && program.finishedSteps.hasFence(step.step(), step.fence());
            return resent ? Done.ok() : FENCED;
        }
        histories.append(program.key, new HistoryRecord(step.step(), command.request(), command.answer()));
        program.finishedSteps.add(program.running.digestPrefix(), step.fence());
        program.settle(used);
        program.recordActivity(nowMillis);
        if (command.end()) {
            end(nowMillis, program);
        }
        return Done.ok();
    }

    Done abandon(long nowMillis, AbandonStep command) {
        StepRef step = command.step();
        Program program = programs.get(step.program());
        if (program == null) {
            return NOT_FOUND;
        }
        long used = Math.max(0, command.usedTokens());
        if (!isCurrent(program, step)) {
            program.settleLate(step.fence(), used);
            return FENCED;
        }
        program.settle(used);
        program.recordActivity(nowMillis);
        return Done.ok();
    }

    Done end(long nowMillis, EndProgram command) {
        Program program = programs.get(command.program());
        if (program == null) {
            return NOT_FOUND;
        }
        if (!program.isEnded() && IDLE_CAUSE.equals(command.cause()) && !program.isIdle(nowMillis)) {
            return Done.refused("the program is not idle");
        }
        end(nowMillis, program);
        return Done.ok();
    }

    boolean hasExpired(long nowMillis) {
        Program oldestWithHistory = historiesToDelete.peekFirst();
        Program oldestEnded = endedInOrder.peekFirst();
        return oldestWithHistory != null && oldestWithHistory.endedMillis + HISTORY_RETENTION_MILLIS <= nowMillis
                || oldestEnded != null && oldestEnded.endedMillis + RETENTION_MILLIS <= nowMillis;
    }

    void expire(long nowMillis) {
        while (!historiesToDelete.isEmpty()
                && historiesToDelete.peekFirst().endedMillis + HISTORY_RETENTION_MILLIS <= nowMillis) {
            Program program = historiesToDelete.removeFirst();
            program.historyDeleted = true;
            histories.delete(program.key);
        }
        while (!endedInOrder.isEmpty() && endedInOrder.peekFirst().endedMillis + RETENTION_MILLIS <= nowMillis) {
            Program program = endedInOrder.removeFirst();
            programs.remove(program.key);
            if (program.parent != null) {
                program.parent.children.remove(program.key);
            }
        }
    }

    ProgramsImage image() {
        List<ProgramImage> image = new ArrayList<>(programs.size());
        programs.values().forEach(p -> image.add(p.image()));
        return new ProgramsImage(image, endedInOrder.stream().map(p -> p.key).toList(), ended.image());
    }

    void restore(ProgramsImage image) {
        for (ProgramImage program : image.programs()) {
            Program parent = program.parent() == null ? null : programs.get(program.parent());
            programs.put(program.key(), program.toProgram(parent));
        }
        for (ProgramKey key : image.endedInOrder()) {
            Program program = programs.get(key);
            endedInOrder.addLast(program);
            if (!program.historyDeleted) {
                historiesToDelete.addLast(program);
            }
        }
        ended.restore(image.ended());
    }

    private static boolean isCurrent(Program program, StepRef step) {
        return program.running != null
                && program.running.fence() == step.fence()
                && program.running.step() == step.step();
    }

    private static StepReply refused(StepOutcome outcome, Program program) {
        return new StepReply(outcome, 0, program.nextStep(), List.of(), program.ownSpentTokens);
    }

    private static StepReply refused(StepOutcome outcome) {
        return new StepReply(outcome, 0, 1, List.of(), 0);
    }

    private static StepReply granted(Program program) {
        return new StepReply(
                StepOutcome.GRANTED, program.running.fence(), program.nextStep(), List.of(), program.ownSpentTokens);
    }

    private StepReply create(long nowMillis, BeginStep command) {
        if (command.step() != 1) {
            return refused(StepOutcome.OUT_OF_ORDER);
        }
        Program parent = null;
        ProgramId parentId = command.parent();
        if (parentId != null) {
            parent = programs.get(ProgramKey.of(command.program().organisation(), parentId));
            if (parent == null) {
                return refused(StepOutcome.PARENT_UNKNOWN);
            }
            if (parent.isEnded()) {
                return refused(StepOutcome.ENDED);
            }
            if (parent.depth + 1 >= MAX_DEPTH) {
                return refused(StepOutcome.BUDGET_EXHAUSTED);
            }
        }
        Program program = new Program(command.program(), parent, command.budgetTokens(), FinishedSteps.create());
        StepReply reply = startAttempt(nowMillis, program, command);
        if (program.running != null) {
            programs.put(program.key, program);
            if (parent != null) {
                parent.children.add(program.key);
            }
        }
        return reply;
    }

    private StepReply replyToFinishedStep(Program program, BeginStep command) {
        if (command.step() < 1) {
            return refused(StepOutcome.OUT_OF_ORDER, program);
        }
        if (!program.finishedSteps.isSameRequest(command.step(), command.digest())) {
            return refused(StepOutcome.CHANGED, program);
        }
        StepOutcome outcome = program.historyDeleted ? StepOutcome.ENDED : StepOutcome.REPLAYED;
        return refused(outcome, program);
    }

    private StepReply startAttempt(long nowMillis, Program program, BeginStep command) {
        long reserve = Math.max(0, command.reserveTokens());
        if (command.step() > command.maxSteps() || reserve > program.availableTokens()) {
            return refused(StepOutcome.BUDGET_EXHAUSTED, program);
        }
        program.fenceRunningAttempt();
        program.reserve(new Attempt(
                fenceCounter.getAsLong(),
                command.step(),
                FinishedSteps.prefix(command.digest()),
                command.nonce(),
                command.entry().value(),
                reserve,
                nowMillis + STEP_LEASE_MILLIS));
        program.idleLimitMillis =
                command.idleLimitMillis() > 0 ? command.idleLimitMillis() : Route.DEFAULT_IDLE_LIMIT_MILLIS;
        program.recordActivity(nowMillis);
        return granted(program);
    }

    /**
     * Ends the sub-agents of a program in order of their keys, then the program itself. The order is fixed so that each
     * end gets the same version number on every replica.
     */
    private void end(long nowMillis, Program program) {
        if (program.isEnded()) {
            return;
        }
        for (ProgramKey child : program.children) {
            end(nowMillis, programs.get(child));
        }
        program.fenceRunningAttempt();
        program.endedMillis = nowMillis;
        historiesToDelete.addLast(program);
        endedInOrder.addLast(program);
        ended.add(program.key);
    }

    /**
     * The content of the table for a snapshot.
     *
     * @param programs the programs, parents before their sub-agents
     * @param endedInOrder the ended programs that are still kept, ordered by their end
     * @param ended the log of ended programs
     */
    public record ProgramsImage(
            List<ProgramImage> programs, List<ProgramKey> endedInOrder, EndedPrograms.EndedImage ended) {}
}
