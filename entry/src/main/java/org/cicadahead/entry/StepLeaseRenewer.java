package org.cicadahead.entry;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cicadahead.model.DaemonId;
import org.cicadahead.protocol.RenewSteps;
import org.cicadahead.protocol.StepRef;
import org.cicadahead.protocol.StepsRenewed;
import org.cicadahead.wire.ControlClient;

/** Renews the leases of the running steps in batches. Thread-safe. */
final class StepLeaseRenewer {
    /** Renewal interval in milliseconds; a fifth of the lease duration. */
    static final long INTERVAL_MILLIS = 1_000;

    private final DaemonId entry;
    private final ControlClient control;
    private final Map<StepRef, Runnable> onLostByStep = new ConcurrentHashMap<>();

    StepLeaseRenewer(DaemonId entry, ControlClient control) {
        this.entry = entry;
        this.control = control;
    }

    /**
     * Renews the lease of a step until {@link #remove} is called or control reports the step as lost.
     *
     * @param step the step
     * @param onLost the action to run when another attempt has taken over the step
     */
    void add(StepRef step, Runnable onLost) {
        onLostByStep.put(step, onLost);
    }

    void remove(StepRef step) {
        onLostByStep.remove(step);
    }

    void renew() {
        List<StepRef> steps = List.copyOf(onLostByStep.keySet());
        if (steps.isEmpty()) {
            return;
        }
        control.call(new RenewSteps(entry, steps), StepsRenewed.class, 2 * INTERVAL_MILLIS)
                .thenAccept(reply -> reply.lost().forEach(this::lost));
    }

    private void lost(StepRef step) {
        Runnable onLost = onLostByStep.remove(step);
        if (onLost != null) {
            onLost.run();
        }
    }
}
