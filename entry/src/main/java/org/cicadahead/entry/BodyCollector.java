package org.cicadahead.entry;

import java.io.ByteArrayOutputStream;
import org.cicadahead.protocol.RunEnd;

/** Collects a response that is not streamed. */
final class BodyCollector implements ResponseCollector {
    /** Maximum size of a response in bytes, so that the recorded response fits into one message to control. */
    private static final int MAX_BYTES = 12 * 1024 * 1024;

    private static final byte[] NO_BYTES = new byte[0];

    private final boolean chat;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    BodyCollector(boolean chat) {
        this.chat = chat;
    }

    @Override
    public byte[] accept(byte[] data) throws InvalidResponseException {
        if (body.size() + data.length > MAX_BYTES) {
            throw new InvalidResponseException("the answer is larger than " + MAX_BYTES + " bytes");
        }
        body.writeBytes(data);
        return NO_BYTES;
    }

    @Override
    public RecordedResponse finish(RunEnd end) throws InvalidResponseException {
        RecordedResponse response = new RecordedResponse(
                chat && RecordedResponse.isSuccess(end.status()), end.status(), end.contentType(), body.toByteArray());
        if (response.chat() && response.message() == null) {
            throw new InvalidResponseException("the answer is not a chat completion");
        }
        return response;
    }

    @Override
    public long bytes() {
        return body.size();
    }
}
