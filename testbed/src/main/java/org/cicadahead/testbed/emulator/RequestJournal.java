package org.cicadahead.testbed.emulator;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.List;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;

/**
 * Every request that an emulator received, with all its bytes, so that tests can search them for keys. Safe for use by
 * several threads.
 */
public final class RequestJournal {
    /** Bytes of the newest requests that are kept; older ones are dropped and counted. */
    private static final long MAX_BYTES = 64L * 1024 * 1024;

    private final Deque<Entry> entries = new ArrayDeque<>();
    private long bytes;
    private long dropped;

    /**
     * A request as it was received. Immutable but for the array, which must not be changed.
     *
     * @param method the method
     * @param uri the URI
     * @param headers all header lines in order
     * @param body the body
     */
    public record Entry(String method, String uri, List<String> headers, byte[] body) {

        /**
         * Returns the request as text, one character for each byte.
         *
         * @return the request line, headers and body
         */
        public String text() {
            return method + " " + uri + "\n" + String.join("\n", headers) + "\n\n"
                    + new String(body, StandardCharsets.ISO_8859_1);
        }

        String encoded() {
            return Base64.getEncoder().encodeToString(body);
        }
    }

    void add(Request request, byte[] body) {
        List<String> headers = new ArrayList<>();
        request.getHeaders().forEach(field -> headers.add(field.getName() + ": " + field.getValue()));
        HttpFields trailers = request.getTrailers();
        if (trailers != null) {
            trailers.forEach(field -> headers.add("trailer " + field.getName() + ": " + field.getValue()));
        }
        Entry entry = new Entry(request.getMethod(), request.getHttpURI().toString(), headers, body);
        synchronized (this) {
            entries.add(entry);
            bytes += body.length;
            while (bytes > MAX_BYTES) {
                bytes -= entries.removeFirst().body().length;
                dropped++;
            }
        }
    }

    /**
     * Returns the requests in order of arrival.
     *
     * @return the requests
     */
    public synchronized List<Entry> entries() {
        return List.copyOf(entries);
    }

    /**
     * Returns whether any request contains a text, in its URI, headers or body.
     *
     * @param text the text
     * @return true if it does
     */
    public boolean contains(String text) {
        return entries().stream().anyMatch(entry -> entry.text().contains(text));
    }

    synchronized long dropped() {
        return dropped;
    }

    synchronized void clear() {
        entries.clear();
        bytes = 0;
        dropped = 0;
    }
}
