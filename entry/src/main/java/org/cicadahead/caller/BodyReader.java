package org.cicadahead.caller;

import java.io.ByteArrayOutputStream;
import java.util.concurrent.CompletableFuture;
import org.cicadahead.model.RefusalReason;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;

/** Reads the body of a request without blocking. Trailers are dropped. */
final class BodyReader {
    private final Request request;
    private final long maxBytes;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final CompletableFuture<byte[]> result = new CompletableFuture<>();

    private BodyReader(Request request, long maxBytes) {
        this.request = request;
        this.maxBytes = maxBytes;
    }

    /** Returns the body; fails with a {@link RefusalException}. */
    static CompletableFuture<byte[]> read(Request request, long maxBytes) {
        BodyReader reader = new BodyReader(request, maxBytes);
        if (request.getHeaders().getLongField(HttpHeader.CONTENT_LENGTH) > maxBytes) {
            reader.refuse(RefusalReason.BODY_TOO_LARGE, "The body may have at most " + maxBytes + " bytes");
        } else {
            reader.run();
        }
        return reader.result;
    }

    private void run() {
        while (true) {
            Content.Chunk chunk = request.read();
            if (chunk == null) {
                request.demand(this::run);
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                refuse(RefusalReason.BODY_INCOMPLETE, "The body ended early");
                return;
            }
            byte[] bytes = new byte[chunk.remaining()];
            chunk.getByteBuffer().get(bytes);
            boolean last = chunk.isLast();
            chunk.release();
            body.writeBytes(bytes);
            if (body.size() > maxBytes) {
                refuse(RefusalReason.BODY_TOO_LARGE, "The body may have at most " + maxBytes + " bytes");
                return;
            }
            if (last) {
                result.complete(body.toByteArray());
                return;
            }
        }
    }

    private void refuse(RefusalReason reason, String detail) {
        result.completeExceptionally(new RefusalException(reason, detail));
    }
}
