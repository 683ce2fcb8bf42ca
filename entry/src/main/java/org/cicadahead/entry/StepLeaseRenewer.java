package org.cicadahead.entry;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cicadahead.model.DaemonId;
import org.cicadahead.protocol.RenewSteps;
import org.cicadahead.protocol.StepRef;
import org.cicadahead.protocol.StepsRenewed;
import org.cicadahead.wire.ControlClient;

/** Renews the leases of the running steps in batches. Safe for use by several threads. */
final class StepLeaseRenewer {
    /** How often leases are renewed in milliseconds; a fifth of their length. */
    static final long INTERVAL_MILLIS = 1_000;

    private final DaemonId entry;
    private final ControlClient control;
    private final Map<StepRef, Runnable> running = new ConcurrentHashMap<>();

    StepLeaseRenewer(DaemonId entry, ControlClient control) {
        this.entry = entry;
        this.control = control;
    }

    /**
     * Keeps the lease of a step.
     *
     * @param step the step
     * @param onLost runs when another attempt has taken the step over
     */
    void add(StepRef step, Runnable onLost) {
        running.put(step, onLost);
    }

    void remove(StepRef step) {
        running.remove(step);
    }

    void renew() {
        List<StepRef> steps = List.copyOf(running.keySet());
        if (steps.isEmpty()) {
            return;
        }
        control.call(new RenewSteps(entry, steps), StepsRenewed.class, 2 * INTERVAL_MILLIS)
                .thenAccept(reply -> reply.lost().forEach(this::lost));
    }

    private void lost(StepRef step) {
        Runnable onLost = running.remove(step);
        if (onLost != null) {
            onLost.run();
        }
    }
}
