package org.cicadahead.wire;

import java.util.function.BooleanSupplier;

/** A call under way. Safe for use by several threads. */
public final class PeerCall {
    private final Runnable cancellation;
    private final BooleanSupplier written;

    PeerCall(Runnable cancellation, BooleanSupplier written) {
        this.cancellation = cancellation;
        this.written = written;
    }

    static PeerCall ended() {
        return new PeerCall(() -> {}, () -> false);
    }

    /** Cancels the call; its listener is told nothing more. */
    public void cancel() {
        cancellation.run();
    }

    /**
     * Returns whether writing the request has begun.
     *
     * @return true if the peer may have got it
     */
    public boolean mayHaveArrived() {
        return written.getAsBoolean();
    }
}
