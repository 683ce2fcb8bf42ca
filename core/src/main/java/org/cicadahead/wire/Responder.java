package org.cicadahead.wire;

import java.util.concurrent.CompletableFuture;
import org.cicadahead.protocol.Message;

/** Sends the reply to one request. Thread-safe. */
public interface Responder {

    /**
     * Sends a part of a streamed reply.
     *
     * @param part the part
     * @return false if the call was cancelled or has ended, or the connection is closed
     */
    boolean part(Message part);

    /**
     * Sends the last or only reply. Later calls are ignored.
     *
     * @param reply the reply
     */
    void reply(Message reply);

    /**
     * Sends the last reply when the future completes, or reports its failure.
     *
     * @param answer the future reply
     */
    default void replyWith(CompletableFuture<? extends Message> answer) {
        answer.whenComplete((reply, failure) -> {
            if (failure == null) {
                reply(reply);
            } else {
                fail(String.valueOf(failure.getMessage()));
            }
        });
    }

    /**
     * Reports that the request cannot be served. Later calls are ignored.
     *
     * @param text the reason, for logs
     */
    void fail(String text);

    /**
     * Sets the action to run when the requester cancels or its connection is lost. Runs it immediately if that has
     * already happened.
     *
     * @param action the action, called at most once
     */
    void onCancel(Runnable action);

    /**
     * Returns the number of bytes that are queued for sending to the requester.
     *
     * @return the bytes
     */
    long queuedBytes();
}
