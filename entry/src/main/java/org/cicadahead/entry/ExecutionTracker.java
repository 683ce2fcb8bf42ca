package org.cicadahead.entry;

/**
 * What is known of whether a request ran, from which {@code not_run} follows.
 *
 * <p>By stage of the request:
 *
 * <ul>
 *   <li>before an endpoint is called (parsing, key, route, admission, {@code BeginStep}): nothing can run, as only a
 *       {@code RunRequest} starts a run: not run;
 *   <li>{@code BeginClaim} unanswered: an earlier attempt under the same idempotency key may have run: not known;
 *   <li>claim granted, nothing sent: not run once {@code ReleaseClaim} is committed;
 *   <li>{@code RunRequest} handed to the transport: may run, until the transport reports that it was never sent or the
 *       endpoint reports that it did not and will not run it;
 *   <li>a cancelled run: may have run, as the request may have arrived before the cancellation;
 *   <li>after an attempt whose outcome is not known, a later attempt that did not run changes nothing: may have run;
 *   <li>claimed and sent, outcome not known: not run once {@code ReleaseClaim} is committed, as the claim then was
 *       never started and cannot start under its fencing token; else not known.
 * </ul>
 *
 * <p>Not safe for use by several threads.
 */
final class ExecutionTracker {
    private int open;
    private int uncertain;
    private boolean claimUnsettled;

    /** Notes that a run request is handed to the transport. */
    void sent() {
        open++;
    }

    /** Notes that an attempt certainly did not run and will not. */
    void notRun() {
        open--;
    }

    /** Notes that an attempt ran or may have run. */
    void mayHaveRun() {
        open--;
        uncertain++;
    }

    /** Notes that a claim is being taken or is held. */
    void claimOpened() {
        claimUnsettled = true;
    }

    /** Notes that the claim was closed unused by control, so that no attempt under it ran or will run. */
    void claimReleased() {
        claimUnsettled = false;
        open = 0;
        uncertain = 0;
    }

    /** Notes that the claim was not taken, as control certainly did not get the request for it. */
    void claimNotSent() {
        claimUnsettled = false;
    }

    /** Returns whether the request certainly did not run and will not run. */
    boolean isNotRun() {
        return open == 0 && uncertain == 0 && !claimUnsettled;
    }

    /** Returns whether the request may have run, claims aside. */
    boolean mayRun() {
        return open > 0 || uncertain > 0;
    }
}
