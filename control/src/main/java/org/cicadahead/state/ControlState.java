package org.cicadahead.state;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.cicadahead.protocol.AbandonClaim;
import org.cicadahead.protocol.AbandonStep;
import org.cicadahead.protocol.BeginClaim;
import org.cicadahead.protocol.BeginStep;
import org.cicadahead.protocol.ClearSuspects;
import org.cicadahead.protocol.Command;
import org.cicadahead.protocol.CrashReport;
import org.cicadahead.protocol.DeleteResource;
import org.cicadahead.protocol.Done;
import org.cicadahead.protocol.EndProgram;
import org.cicadahead.protocol.FinishClaim;
import org.cicadahead.protocol.FinishStep;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.OrphanClaims;
import org.cicadahead.protocol.PutResource;
import org.cicadahead.protocol.ReleaseClaim;
import org.cicadahead.protocol.RenewSteps;
import org.cicadahead.protocol.StartClaim;

/**
 * The replicated state: all tables that commands change. Not thread-safe.
 *
 * <p>The state is deterministic: the same commands with the same leader times produce the same state and the same
 * replies on every replica. Replies to {@link BeginStep} contain no history; the leader adds it from the history store.
 * Instances are created by {@link #create(HistorySink)} and {@link #from(HistorySink, StateImage)}.
 */
public final class ControlState {
    private final Map<Class<? extends Command>, CommandHandler<Command>> handlers = new HashMap<>();
    private final ConfigurationTable configuration = new ConfigurationTable();
    private final PoisonDigests poison = new PoisonDigests();
    private final ProgramTable programs;
    private final ClaimTable claims;
    private long lastFence;
    private long lastMillis;

    private ControlState(HistorySink histories) {
        Objects.requireNonNull(histories, "The history sink must not be null");
        programs = new ProgramTable(this::nextFence, histories);
        claims = new ClaimTable(this::nextFence);
        register(PutResource.class, configuration::put);
        register(DeleteResource.class, configuration::delete);
        register(BeginStep.class, programs::begin);
        register(RenewSteps.class, programs::renew);
        register(FinishStep.class, programs::finish);
        register(AbandonStep.class, programs::abandon);
        register(EndProgram.class, programs::end);
        register(BeginClaim.class, claims::begin);
        register(StartClaim.class, claims::start);
        register(FinishClaim.class, claims::finish);
        register(ReleaseClaim.class, claims::release);
        register(AbandonClaim.class, claims::abandon);
        register(OrphanClaims.class, claims::orphan);
        register(CrashReport.class, poison::report);
        register(ClearSuspects.class, (now, command) -> poison.clear(command));
    }

    /**
     * Returns empty tables.
     *
     * @param histories stores the histories of programs
     * @return the tables
     * @throws NullPointerException if the sink is null
     */
    public static ControlState create(HistorySink histories) {
        return new ControlState(histories);
    }

    /**
     * Returns tables restored from an image.
     *
     * @param histories stores the histories of programs, which the image does not contain
     * @param image the image
     * @return the tables
     * @throws NullPointerException if a value is null
     */
    public static ControlState from(HistorySink histories, StateImage image) {
        ControlState state = new ControlState(histories);
        state.lastFence = image.lastFence();
        state.lastMillis = image.lastMillis();
        state.configuration.restore(image.configuration());
        state.programs.restore(image.programs());
        state.claims.restore(image.claims());
        state.poison.restore(image.poison());
        return state;
    }

    /**
     * Removes the entries past their retention time, then applies a command.
     *
     * @param leaderMillis the time at which the leader appended it, in milliseconds since the epoch
     * @param command the command
     * @return the reply to the proposer
     * @throws HistoryException if the history cannot be written
     */
    public Message apply(long leaderMillis, Command command) throws HistoryException {
        lastMillis = Math.max(lastMillis, leaderMillis);
        expire(lastMillis);
        CommandHandler<Command> handler = handlers.get(command.getClass());
        if (handler == null) {
            return Done.refused("the command " + command.getClass().getSimpleName() + " is not known");
        }
        return handler.apply(lastMillis, command);
    }

    /**
     * Returns whether a table has entries past their retention time, which the next command removes.
     *
     * @param nowMillis the present leader time
     * @return true if an entry has expired
     */
    public boolean hasExpired(long nowMillis) {
        return configuration.hasExpired(nowMillis)
                || programs.hasExpired(nowMillis)
                || claims.hasExpired(nowMillis)
                || poison.hasExpired(nowMillis);
    }

    /**
     * Returns the time of the last command, which never decreases.
     *
     * @return the leader time in milliseconds since the epoch
     */
    public long lastMillis() {
        return lastMillis;
    }

    /**
     * Returns the configuration.
     *
     * @return the table
     */
    public ConfigurationTable configuration() {
        return configuration;
    }

    /**
     * Returns the programs.
     *
     * @return the table
     */
    public ProgramTable programs() {
        return programs;
    }

    /**
     * Returns the claims.
     *
     * @return the table
     */
    public ClaimTable claims() {
        return claims;
    }

    /**
     * Returns the poison digests.
     *
     * @return the table
     */
    public PoisonDigests poison() {
        return poison;
    }

    /**
     * Returns the content of all tables for a snapshot.
     *
     * @return the image
     */
    public StateImage image() {
        return new StateImage(
                lastFence, lastMillis, configuration.image(), programs.image(), claims.image(), poison.image());
    }

    private long nextFence() {
        return ++lastFence;
    }

    private void expire(long nowMillis) {
        configuration.expire(nowMillis);
        programs.expire(nowMillis);
        claims.expire(nowMillis);
        poison.expire(nowMillis);
    }

    private <C extends Command> void register(Class<C> type, CommandHandler<C> handler) {
        handlers.put(type, (now, command) -> handler.apply(now, type.cast(command)));
    }

    /** Applies one type of command. */
    @FunctionalInterface
    private interface CommandHandler<C extends Command> {
        Message apply(long nowMillis, C command) throws HistoryException;
    }
}
