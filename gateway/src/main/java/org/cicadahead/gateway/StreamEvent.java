package org.cicadahead.gateway;

/**
 * A complete server-sent event. Immutable; the arrays must not be modified.
 *
 * @param bytes the event as received, including the empty line that ends it
 * @param id the numeric id of the event, or -1 if it has none
 * @param data the data of the event without a trailing line feed; null if it has none
 */
record StreamEvent(byte[] bytes, long id, byte[] data) {

    /** Returns whether the event carries more than its frame; comments and empty events do not. */
    boolean hasData() {
        return data != null && data.length > 0;
    }
}
