package org.cicadahead.model;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Objects;
import java.util.Set;

/**
 * Which organisations may call which pool, and under what limits. Immutable.
 *
 * @param name the name; a model call selects the route by its {@code model} field
 * @param pool the pool that serves it
 * @param target whether engines or plain services serve it
 * @param open whether callers without an API key may use it
 * @param organisations the organisations that may use it; empty means every organisation
 * @param repeatable whether requests are idempotent, so that a request may run more than once
 * @param programBudgetTokens the token budget of one program including its sub-agents
 * @param maxSteps the maximum number of steps of one program
 * @param idleLimitMillis the idle time after which a program is ended, in milliseconds
 * @param deadlineMillis the time that one request may take, in milliseconds
 * @param model the model name that is sent to engines; empty means the route's name
 */
public record Route(
        RouteName name,
        PoolName pool,
        EndpointKind target,
        boolean open,
        Set<OrganisationId> organisations,
        boolean repeatable,
        @JsonProperty("program_budget_tokens") long programBudgetTokens,
        @JsonProperty("max_steps") int maxSteps,
        @JsonProperty("idle_limit_millis") long idleLimitMillis,
        @JsonProperty("deadline_millis") long deadlineMillis,
        String model)
        implements Resource {
    /** Default token budget of a program. */
    public static final long DEFAULT_PROGRAM_BUDGET_TOKENS = 1_000_000;
    /** Default step limit of a program; the largest program expected has 65 turns. */
    public static final int DEFAULT_MAX_STEPS = 200;
    /** Default idle limit in milliseconds. */
    public static final long DEFAULT_IDLE_LIMIT_MILLIS = 600_000;
    /** Default deadline of one request in milliseconds. */
    public static final long DEFAULT_DEADLINE_MILLIS = 120_000;

    /**
     * Validates the values and sets defaults for those that are zero or absent.
     *
     * @throws IllegalArgumentException if a value is negative
     */
    public Route {
        Objects.requireNonNull(name, "The name must not be null");
        Objects.requireNonNull(pool, "The pool must not be null");
        target = target == null ? EndpointKind.ENGINE : target;
        organisations = organisations == null ? Set.of() : Set.copyOf(organisations);
        programBudgetTokens =
                Limits.orDefault(programBudgetTokens, DEFAULT_PROGRAM_BUDGET_TOKENS, "program_budget_tokens");
        maxSteps = (int) Limits.orDefault(maxSteps, DEFAULT_MAX_STEPS, "max_steps");
        idleLimitMillis = Limits.orDefault(idleLimitMillis, DEFAULT_IDLE_LIMIT_MILLIS, "idle_limit_millis");
        deadlineMillis = Limits.orDefault(deadlineMillis, DEFAULT_DEADLINE_MILLIS, "deadline_millis");
        model = model == null || model.isEmpty() ? name.value() : model;
    }

    /**
     * Returns whether an organisation may use the route.
     *
     * @param organisation the organisation
     * @return true if it may
     */
    public boolean allows(OrganisationId organisation) {
        return organisations.isEmpty() || organisations.contains(organisation);
    }

    @Override
    @JsonIgnore
    public ResourceKind kind() {
        return ResourceKind.ROUTE;
    }

    @Override
    @JsonIgnore
    public String resourceName() {
        return name.value();
    }
}
