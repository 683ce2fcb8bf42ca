package org.cicadahead.protocol;

import java.util.List;
import org.cicadahead.model.OrganisationId;

/**
 * One organisation in a grant request. Immutable.
 *
 * @param organisation the organisation
 * @param wanted how many requests the entry wants to admit in the next second
 * @param uses what became of earlier grants
 */
public record GrantLine(OrganisationId organisation, int wanted, List<GrantUse> uses) {

    /** Copies the collections; an absent one is empty. */
    public GrantLine {
        uses = uses == null ? List.of() : List.copyOf(uses);
    }
}
