package org.cicadahead.gateway;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A fake client whose responses are scripted by a test. */
final class FakeEndpoints implements EndpointClient {
    final List<Sent> sent = new ArrayList<>();

    /** A request that was sent. */
    static final class Sent {
        final EndpointRequest request;
        final EndpointListener listener;
        final CountDownLatch ended = new CountDownLatch(1);
        boolean cancelled;
        OptionalDouble requestLimit = OptionalDouble.empty();
        boolean leaving;

        Sent(EndpointRequest request, EndpointListener listener) {
            this.request = request;
            this.listener = listener;
        }

        void head(int status, boolean signature, boolean notRun) {
            listener.head(new ResponseHead(
                    status, List.of(), request.caller().attempt(), signature, notRun, requestLimit, leaving));
        }

        void answer(int status, String body) {
            head(status, true, false);
            data(body);
            listener.end();
        }

        void reject() {
            head(503, false, true);
        }

        void data(String text) {
            listener.data(text.getBytes(StandardCharsets.UTF_8));
        }

        void event(int id) {
            data("id: " + id + "\ndata: d" + id + "\n\n");
        }
    }

    @Override
    public Runnable send(EndpointRequest request, EndpointListener listener) {
        Sent each = new Sent(request, listener);
        synchronized (this) {
            sent.add(each);
            notifyAll();
        }
        return () -> {
            each.cancelled = true;
            each.ended.countDown();
        };
    }

    /** Returns whether a number of requests have been sent, within a time in milliseconds. */
    synchronized boolean awaitSent(int count, long timeoutMillis) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        for (long left = timeoutMillis; sent.size() < count && left > 0; ) {
            wait(left);
            left = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
        }
        return sent.size() >= count;
    }

    Sent last() {
        return sent.get(sent.size() - 1);
    }
}
