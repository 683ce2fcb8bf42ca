package org.cicadahead.testbed.client;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.cicadahead.testbed.emulator.EngineAnswers;

/**
 * Runs one program as a careful caller does: it resends a step that failed, also at other entries, until the step has a
 * complete answer or a time limit has passed. For use by one thread.
 */
public final class ProgramRun {
    private static final long BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int MIN_ERROR = 400;
    private static final int MIN_SERVER_ERROR = 500;
    /** Refusals with a status of a caller's error that a resend can help with. */
    private static final Set<String> TRANSIENT = Set.of("step_running", "step_fenced", "claim_running", "claim_fenced");

    private final List<Caller> callers;
    private final long stepTimeoutNanos;
    private final Map<String, Integer> refusals = new TreeMap<>();
    private int next;
    private long totalNanos;
    private String fault = "";

    /**
     * Creates a run.
     *
     * @param callers one caller an entry, tried in turn
     * @param first the caller to begin with
     * @param stepTimeoutMillis how long a step is resent, in milliseconds
     */
    public ProgramRun(List<Caller> callers, int first, long stepTimeoutMillis) {
        this.callers = List.copyOf(callers);
        this.next = Math.floorMod(first, callers.size());
        this.stepTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(stepTimeoutMillis);
    }

    /**
     * Runs all steps and checks each answer.
     *
     * @param program the program
     * @param steps how many steps
     * @param maxTokens the length of each answer in tokens
     * @return true if every step had its own complete answer
     */
    public boolean run(String program, int steps, int maxTokens) {
        long startNanos = System.nanoTime();
        Turn turn = Turn.first(program, message(program, 1), maxTokens);
        for (int step = 1; step <= steps && fault.isEmpty(); step++) {
            runStep(step == steps ? turn.last() : turn);
            turn = turn.next(message(program, step + 1));
        }
        totalNanos = System.nanoTime() - startNanos;
        return fault.isEmpty();
    }

    /**
     * Sends a step until it has a complete answer or the time is up, and checks the answer.
     *
     * @param turn the step
     * @return the last answer
     */
    public Answer runStep(Turn turn) {
        long deadlineNanos = System.nanoTime() + stepTimeoutNanos;
        Answer answer = callers.get(next).chat(turn);
        while (!answer.isDone() && mayHelp(answer) && System.nanoTime() - deadlineNanos < 0) {
            refusals.merge(answer.reason().isEmpty() ? "incomplete" : shorten(answer.reason()), 1, Integer::sum);
            next = (next + 1) % callers.size();
            LockSupport.parkNanos(BACKOFF_NANOS);
            answer = callers.get(next).chat(turn);
        }
        if (!answer.isDone()) {
            fault = "step " + turn.step() + " of " + turn.program() + ": " + answer.summary();
        } else if (!answer.text().equals(EngineAnswers.content(turn.content(), turn.maxTokens()))) {
            fault = "step " + turn.step() + " of " + turn.program() + " has the answer of another request: "
                    + shorten(answer.text());
        }
        return answer;
    }

    /**
     * Returns how often each refusal was answered with a resend.
     *
     * @return the numbers by reason
     */
    public Map<String, Integer> refusals() {
        return Map.copyOf(refusals);
    }

    /**
     * Returns how long the program took.
     *
     * @return the time in nanoseconds
     */
    public long totalNanos() {
        return totalNanos;
    }

    /**
     * Returns what went wrong.
     *
     * @return a sentence, or an empty text
     */
    public String fault() {
        return fault;
    }

    private static boolean mayHelp(Answer answer) {
        int status = answer.status();
        return status < MIN_ERROR
                || status >= MIN_SERVER_ERROR
                || status == TOO_MANY_REQUESTS
                || TRANSIENT.contains(answer.reason());
    }

    private static String message(String program, int step) {
        return "Message " + step + " of " + Objects.requireNonNull(program, "The program must not be null") + ".";
    }

    private static String shorten(String text) {
        int limit = 60;
        return text.length() <= limit ? text : text.substring(0, limit);
    }
}
