package org.cicadahead.wire;

import java.util.concurrent.CompletableFuture;
import org.cicadahead.protocol.Message;

/** Takes the answer to one request. Safe for use by several threads. */
public interface Responder {

    /**
     * Sends a part of a streamed answer.
     *
     * @param part the part
     * @return false if the requester is gone
     */
    boolean part(Message part);

    /**
     * Sends the last answer. Later calls are ignored.
     *
     * @param reply the answer
     */
    void reply(Message reply);

    /**
     * Sends the last answer as soon as it is there, or reports why there is none.
     *
     * @param answer the answer
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
     * @param text why, for logs
     */
    void fail(String text);

    /**
     * Sets what to do when the requester cancels or its connection is lost; runs at once if that has happened.
     *
     * @param action the action, called at most once
     */
    void onCancel(Runnable action);

    /**
     * Returns how many bytes wait for the requester to read.
     *
     * @return the bytes
     */
    long queuedBytes();
}
