package org.cicadahead.wire;

import java.net.InetSocketAddress;

/** Parses addresses of the form {@code host:port}. */
public final class Addresses {

    private Addresses() {}

    /**
     * Parses an address.
     *
     * @param text the host and port, separated by a colon
     * @return the address
     * @throws IllegalArgumentException if the text has no host or no numeric port
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("The address must be host:port: " + text);
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
