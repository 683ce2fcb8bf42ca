package org.cicadahead.model;

import java.util.Objects;

/**
 * Identifies a program globally, by its organisation and its id. Immutable.
 *
 * @param organisation the organisation
 * @param program the program id within it
 */
public record ProgramKey(OrganisationId organisation, ProgramId program) implements Comparable<ProgramKey> {

    /**
     * Validates the values.
     *
     * @throws NullPointerException if a value is null
     */
    public ProgramKey {
        Objects.requireNonNull(organisation, "The organisation must not be null");
        Objects.requireNonNull(program, "The program must not be null");
    }

    /**
     * Returns the key of the program with the given id.
     *
     * @param organisation the organisation
     * @param program the program id within it
     * @return the key
     * @throws NullPointerException if a value is null
     */
    public static ProgramKey of(OrganisationId organisation, ProgramId program) {
        return new ProgramKey(organisation, program);
    }

    @Override
    public int compareTo(ProgramKey other) {
        int byOrganisation = organisation.compareTo(other.organisation);
        return byOrganisation != 0 ? byOrganisation : program.compareTo(other.program);
    }

    @Override
    public String toString() {
        return organisation + "/" + program;
    }
}
