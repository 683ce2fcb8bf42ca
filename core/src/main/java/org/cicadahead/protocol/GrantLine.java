package org.cicadahead.protocol;

import java.util.List;
import org.cicadahead.model.OrganisationId;

/**
 * The part of a grant request that concerns one organisation. Immutable.
 *
 * @param organisation the organisation
 * @param wanted how many requests the entry wants to admit in the next second
 * @param uses the use of earlier grants
 */
public record GrantLine(OrganisationId organisation, int wanted, List<GrantUse> uses) {

    /** Makes immutable copies of the collections; null becomes an empty collection. */
    public GrantLine {
        uses = uses == null ? List.of() : List.copyOf(uses);
    }
}
