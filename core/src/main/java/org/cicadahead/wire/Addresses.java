package org.cicadahead.wire;

import java.net.InetSocketAddress;

/** Addresses as texts of the form {@code host:port}. */
public final class Addresses {

    private Addresses() {}

    /**
     * Parses an address.
     *
     * @param text host and port
     * @return the address
     * @throws IllegalArgumentException if the text is not an address
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("The address must be host:port: " + text);
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
