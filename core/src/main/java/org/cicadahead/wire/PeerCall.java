package org.cicadahead.wire;

/** A call in progress. Thread-safe. */
public final class PeerCall {
    private final Runnable cancellation;

    PeerCall(Runnable cancellation) {
        this.cancellation = cancellation;
    }

    static PeerCall ended() {
        return new PeerCall(() -> {});
    }

    /** Cancels the call. Its listener is not called again for it. */
    public void cancel() {
        cancellation.run();
    }
}
