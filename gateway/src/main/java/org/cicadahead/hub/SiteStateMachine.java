package org.cicadahead.hub;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.function.Consumer;
import org.cicadahead.fleet.DecommissionState;
import org.cicadahead.fleet.DecommissionStore;
import org.cicadahead.fleet.FoundStores;
import org.cicadahead.fleet.SubmitSite;
import org.cicadahead.protocol.Command;
import org.cicadahead.protocol.Done;
import org.cicadahead.protocol.Message;
import org.cicadahead.replication.StateMachine;
import org.cicadahead.replication.StateSnapshot;
import org.cicadahead.wire.Codec;
import org.cicadahead.wire.WireException;

/**
 * The state machine of the hubs. Commands are applied by one thread; {@link #state()} may be called by any thread. The
 * listener is called once the state has caught up and then for each change, because the states that are replayed before
 * may be outdated.
 */
final class SiteStateMachine implements StateMachine {
    private final Consumer<SiteState> listener;
    private volatile SiteState state = SiteState.EMPTY;
    private boolean caughtUp;

    SiteStateMachine(Consumer<SiteState> listener) {
        this.listener = listener;
    }

    SiteState state() {
        return state;
    }

    @Override
    public Message apply(long index, long leaderMillis, Command command) throws IOException {
        SiteState before = state;
        if (command instanceof SubmitSite submitted) {
            replace(before.withSite(submitted));
            return state.toReply(before);
        }
        if (command instanceof FoundStores chosen) {
            replace(before.withStoreFounder(chosen.address()));
            return Done.ok();
        }
        if (command instanceof DecommissionStore decommissioned) {
            replace(before.withDecommissioned(decommissioned.name(), decommissioned.address()));
            return new DecommissionState(DecommissionState.Phase.RUNNING);
        }
        throw new IOException("entry " + index + " holds the unexpected command "
                + command.getClass().getSimpleName());
    }

    @Override
    public void caughtUp() {
        caughtUp = true;
        listener.accept(state);
    }

    @Override
    public StateSnapshot prepareSnapshot() {
        return new Snapshot(state);
    }

    @Override
    public void restore(InputStream in) throws IOException {
        try {
            replace(Codec.unpack(in.readAllBytes(), SiteState.class));
        } catch (WireException e) {
            throw new IOException("the snapshot cannot be read", e);
        }
    }

    private void replace(SiteState next) {
        if (next != state) {
            state = next;
            if (caughtUp) {
                listener.accept(next);
            }
        }
    }

    private record Snapshot(SiteState snapshotState) implements StateSnapshot {
        @Override
        public void write(OutputStream out) throws IOException {
            try {
                out.write(Codec.pack(snapshotState));
            } catch (WireException e) {
                throw new IOException("the snapshot cannot be written", e);
            }
        }

        @Override
        public void close() {
            // Holds no resources.
        }
    }
}
