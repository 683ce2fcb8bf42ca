package org.cicadahead.caller;

import java.io.ByteArrayOutputStream;
import java.util.concurrent.CompletableFuture;
import org.cicadahead.model.RefusalReason;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;

/** Reads the body of a request without blocking. Trailers are discarded. */
final class RequestBodyReader {
    private final Request request;
    private final long maxBytes;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final CompletableFuture<byte[]> result = new CompletableFuture<>();

    private RequestBodyReader(Request request, long maxBytes) {
        this.request = request;
        this.maxBytes = maxBytes;
    }

    /** Returns the body. The future fails with a {@link RefusalException} if the body is too large or incomplete. */
    static CompletableFuture<byte[]> read(Request request, long maxBytes) {
        RequestBodyReader reader = new RequestBodyReader(request, maxBytes);
        if (request.getHeaders().getLongField(HttpHeader.CONTENT_LENGTH) > maxBytes) {
            reader.refuse(RefusalReason.BODY_TOO_LARGE, "The body may have at most " + maxBytes + " bytes");
        } else {
            reader.readAvailable();
        }
        return reader.result;
    }

    private void readAvailable() {
        while (true) {
            Content.Chunk chunk = request.read();
            if (chunk == null) {
                request.demand(this::readAvailable);
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
