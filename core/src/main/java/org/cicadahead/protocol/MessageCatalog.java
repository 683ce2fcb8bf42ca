package org.cicadahead.protocol;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The message types that a connection understands, by their names on the wire. Immutable and thread-safe.
 *
 * <p>Start from {@link #standard()}; a module with messages of its own adds them with {@link #with(Collection)}.
 */
public final class MessageCatalog {
    private static final MessageCatalog STANDARD = new MessageCatalog(List.of(
            AbandonClaim.class,
            AbandonStep.class,
            BeginClaim.class,
            BeginStep.class,
            CheckPrograms.class,
            ClaimReply.class,
            ClearSuspects.class,
            CrashReport.class,
            DeleteResource.class,
            Done.class,
            EditReply.class,
            EndProgram.class,
            FinishClaim.class,
            FinishStep.class,
            GrantReply.class,
            GrantRequest.class,
            NotLeader.class,
            OrphanClaims.class,
            Ping.class,
            Pong.class,
            ProgramView.class,
            ProgramsGone.class,
            PutResource.class,
            ReadProgram.class,
            Refused.class,
            ReleaseClaim.class,
            RenewSteps.class,
            RunChunk.class,
            RunEnd.class,
            RunRequest.class,
            StartClaim.class,
            StepReply.class,
            StepsRenewed.class,
            Sync.class,
            SyncReply.class));

    private final Map<String, Class<? extends Message>> types;

    private MessageCatalog(Collection<Class<? extends Message>> classes) {
        Map<String, Class<? extends Message>> byName = new HashMap<>();
        for (Class<? extends Message> type : classes) {
            if (byName.put(type.getSimpleName(), type) != null) {
                throw new IllegalArgumentException("Duplicate message type name " + type.getSimpleName());
            }
        }
        this.types = Map.copyOf(byName);
    }

    /**
     * Returns the catalogue of all messages of this package.
     *
     * @return the catalogue
     */
    public static MessageCatalog standard() {
        return STANDARD;
    }

    /**
     * Returns a catalogue that also contains the given types.
     *
     * @param more the types to add
     * @return the catalogue
     * @throws IllegalArgumentException if two types have the same simple name
     */
    public MessageCatalog with(Collection<Class<? extends Message>> more) {
        List<Class<? extends Message>> all = new ArrayList<>(types.values());
        all.addAll(more);
        return new MessageCatalog(all);
    }

    /**
     * Returns the type with the given name.
     *
     * @param name the name on the wire
     * @return the type, or null if the name is unknown
     */
    public Class<? extends Message> type(String name) {
        return types.get(name);
    }
}
