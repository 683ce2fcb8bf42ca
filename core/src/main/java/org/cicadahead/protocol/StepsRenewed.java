package org.cicadahead.protocol;

import java.util.List;

/**
 * Answers {@link RenewSteps}.
 *
 * @param lost steps that the entry no longer owns
 */
public record StepsRenewed(List<StepRef> lost) implements Message {

    /** Makes immutable copies of the collections; null becomes an empty collection. */
    public StepsRenewed {
        lost = lost == null ? List.of() : List.copyOf(lost);
    }
}
