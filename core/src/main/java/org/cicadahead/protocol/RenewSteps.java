package org.cicadahead.protocol;

import java.util.List;
import org.cicadahead.model.DaemonId;

/**
 * Extends the leases of running steps. Answered by {@link StepsRenewed}.
 *
 * @param entry the entry
 * @param steps the steps
 */
public record RenewSteps(DaemonId entry, List<StepRef> steps) implements Command {

    /** Makes immutable copies of the collections; null becomes an empty collection. */
    public RenewSteps {
        steps = steps == null ? List.of() : List.copyOf(steps);
    }
}
