package org.cicadahead.raft;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A history of register operations and a linearizability checker. The checker searches for a valid order of the
 * operations with the algorithm of Wing and Gong and caches the states it has visited.
 */
public final class RegisterHistory {
    private final List<Operation> operations = new ArrayList<>();

    /** A read or a write. A write that has not ended may take effect at any time or not at all. */
    public static final class Operation {
        private final boolean write;
        private final long value;
        private final long begin;
        private long end;

        Operation(boolean write, long value, long begin, long end) {
            this.write = write;
            this.value = value;
            this.begin = begin;
            this.end = end;
        }

        public void end(long at) {
            end = at;
        }
    }

    /** A search state: the operations that have been ordered so far, and the value of the register after them. */
    private record Step(BitSet done, long value) {}

    public synchronized Operation write(long value, long begin) {
        Operation operation = new Operation(true, value, begin, Long.MAX_VALUE);
        operations.add(operation);
        return operation;
    }

    synchronized void read(long value, long at) {
        read(value, at, at);
    }

    public synchronized void read(long value, long begin, long end) {
        operations.add(new Operation(false, value, begin, end));
    }

    public int size() {
        return operations.size();
    }

    /**
     * Returns whether the history is linearizable. The register initially holds 0, and all written values must be
     * distinct.
     */
    public boolean isLinearizable() {
        // An unfinished write whose value was never read can be treated as having had no effect.
        operations.removeIf(o -> o.end == Long.MAX_VALUE && !isRead(o.value, new BitSet()));
        operations.sort((a, b) -> Long.compare(a.begin, b.begin));
        Set<Step> seen = new HashSet<>();
        List<Step> stack = new ArrayList<>(List.of(new Step(new BitSet(), 0)));
        while (!stack.isEmpty()) {
            Step step = stack.remove(stack.size() - 1);
            if (isComplete(step.done)) {
                return true;
            }
            for (Step next : next(step)) {
                if (seen.add(next)) {
                    stack.add(next);
                }
            }
        }
        return false;
    }

    /**
     * Returns the possible next steps. A read of the current value is taken immediately, because it does not change the
     * state; a write is taken only if no such read remains.
     */
    private List<Step> next(Step step) {
        List<Step> writes = new ArrayList<>();
        boolean mayOverwrite = !isRead(step.value, step.done);
        long limit = Long.MAX_VALUE;
        for (int i = step.done.nextClearBit(0); i < operations.size(); i = step.done.nextClearBit(i + 1)) {
            Operation operation = operations.get(i);
            if (operation.begin > limit) {
                break;
            }
            limit = Math.min(limit, operation.end);
            BitSet done = (BitSet) step.done.clone();
            done.set(i);
            if (!operation.write && operation.value == step.value) {
                return List.of(new Step(done, step.value));
            }
            if (operation.write && mayOverwrite) {
                writes.add(0, new Step(done, operation.value));
            }
        }
        return writes;
    }

    private boolean isRead(long value, BitSet done) {
        for (int i = 0; i < operations.size(); i++) {
            if (!done.get(i) && !operations.get(i).write && operations.get(i).value == value) {
                return true;
            }
        }
        return false;
    }

    private boolean isComplete(BitSet done) {
        for (int i = done.nextClearBit(0); i < operations.size(); i = done.nextClearBit(i + 1)) {
            if (operations.get(i).end != Long.MAX_VALUE) {
                return false;
            }
        }
        return true;
    }
}
