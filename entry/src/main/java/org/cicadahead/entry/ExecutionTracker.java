package org.cicadahead.entry;

/**
 * Tracks whether a request may have run. The value of {@code not_run} in a refusal depends on it.
 *
 * <p>What is known at each stage of a request:
 *
 * <ul>
 *   <li>before an endpoint is called (parsing, key, route, admission, {@code BeginStep}): not run, as only a
 *       {@code RunRequest} starts a run;
 *   <li>{@code BeginClaim} without a reply: unknown, as an earlier attempt with the same idempotency key may have run;
 *   <li>claim granted, no run request sent: not run once {@code ReleaseClaim} is committed;
 *   <li>{@code RunRequest} passed to the transport: may have run, until the transport reports that it was never sent or
 *       the endpoint reports that it did not run the request and will not run it;
 *   <li>run cancelled: may have run, as the request may have arrived before the cancellation;
 *   <li>attempt of unknown outcome followed by an attempt that did not run: may have run;
 *   <li>claim granted, run request sent, outcome unknown: not run once {@code ReleaseClaim} is committed, as the claim
 *       then was never started and cannot start under its fencing token; otherwise unknown.
 * </ul>
 *
 * <p>Not thread-safe.
 */
final class ExecutionTracker {
    private int pendingAttempts;
    private int uncertainAttempts;
    private boolean claimOpen;

    /** Records that a run request was passed to the transport. */
    void attemptSent() {
        pendingAttempts++;
    }

    /** Records that an attempt certainly did not run and will not run. */
    void attemptNotRun() {
        pendingAttempts--;
    }

    /** Records that an attempt ran or may have run. */
    void attemptUncertain() {
        pendingAttempts--;
        uncertainAttempts++;
    }

    /** Records that a claim is being acquired or is held. */
    void claimOpened() {
        claimOpen = true;
    }

    /** Records that control released the claim or granted it again, so that no earlier attempt has run or will run. */
    void claimReleased() {
        claimOpen = false;
        pendingAttempts = 0;
        uncertainAttempts = 0;
    }

    /** Records that the claim was not acquired, as the message that requests it certainly did not reach control. */
    void claimNotSent() {
        claimOpen = false;
    }

    /** Returns whether the request certainly did not run and will not run. */
    boolean isNotRun() {
        return pendingAttempts == 0 && uncertainAttempts == 0 && !claimOpen;
    }

    /** Returns whether an attempt may have run, irrespective of claims. */
    boolean mayHaveRun() {
        return pendingAttempts > 0 || uncertainAttempts > 0;
    }
}
