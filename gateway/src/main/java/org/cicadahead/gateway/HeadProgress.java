package org.cicadahead.gateway;

/**
 * Decides whether a caller takes too long to send the head of a request on one connection. Not thread-safe.
 *
 * <p>Load pattern: callers that send a byte now and then hold their connections without ever completing a request. The
 * idle timeout of a connection does not end them, as each byte restarts it. An idle connection, on which no byte of a
 * request has arrived, is left to the idle timeout. Create one with {@link #start()} when the connection is first
 * seen.
 */
public final class HeadProgress {
    private long requests = -1;
    private long bytesBetweenRequests;
    private long headBegunMillis;
    private boolean headBegun;

    private HeadProgress() {}

    /**
     * Returns the progress of a connection that is seen for the first time.
     *
     * @return the progress
     */
    public static HeadProgress start() {
        return new HeadProgress();
    }

    /**
     * Records what has been received on the connection.
     *
     * @param requestsRead the number of requests whose heads have been read completely
     * @param responsesSent the number of responses that have been sent completely
     * @param bytesRead the number of bytes that have been received
     * @param nowMillis monotonic time in milliseconds
     */
    public void observe(long requestsRead, long responsesSent, long bytesRead, long nowMillis) {
        boolean betweenRequests = requestsRead == responsesSent;
        if (requestsRead != requests || !betweenRequests) {
            // Bytes that arrived together with the previous request are not counted as the beginning of the next head.
            bytesBetweenRequests = requests < 0 && requestsRead == 0 ? 0 : bytesRead;
            requests = requestsRead;
            headBegun = false;
        }
        if (betweenRequests && !headBegun && bytesRead > bytesBetweenRequests) {
            headBegun = true;
            headBegunMillis = nowMillis;
        }
    }

    /**
     * Returns whether a head that has begun to arrive is not complete after the given time.
     *
     * @param timeoutMillis the time that a caller may take, in milliseconds
     * @param nowMillis monotonic time in milliseconds
     * @return true if the connection should be closed
     */
    public boolean exceeds(long timeoutMillis, long nowMillis) {
        return headBegun && nowMillis - headBegunMillis >= timeoutMillis;
    }
}
