package org.cicadahead.operator;

import java.util.Objects;
import org.cicadahead.protocol.ResourceChange;

/** Thrown if an admin request cannot be served. */
public final class AdminException extends Exception {
    private static final long serialVersionUID = 1L;

    private final AdminProblem problem;
    private final transient ResourceChange current;

    /**
     * Creates an exception.
     *
     * @param problem the problem
     * @param detail the detail that is shown to operators
     */
    public AdminException(AdminProblem problem, String detail) {
        this(problem, detail, null);
    }

    AdminException(AdminProblem problem, String detail, ResourceChange current) {
        super(detail);
        this.problem = Objects.requireNonNull(problem, "The problem must not be null");
        this.current = current;
    }

    /**
     * Returns the problem.
     *
     * @return the problem
     */
    public AdminProblem problem() {
        return problem;
    }

    /** Returns the current resource after a conflict, else null. */
    ResourceChange current() {
        return current;
    }
}
