package org.cicadahead.entry;

import java.io.ByteArrayOutputStream;
import org.cicadahead.protocol.RunEnd;

/** Collects an answer that is not streamed. */
final class BodyCollector implements ResponseCollector {
    /** As much as one message between processes can hold, so that the answer can be recorded. */
    private static final int MAX_BYTES = 12 * 1024 * 1024;

    private static final byte[] NOTHING = new byte[0];

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
        return NOTHING;
    }

    @Override
    public RecordedResponse finish(RunEnd end) throws InvalidResponseException {
        RecordedResponse answer = new RecordedResponse(
                chat && RecordedResponse.isSuccess(end.status()), end.status(), end.contentType(), body.toByteArray());
        if (answer.chat() && answer.message() == null) {
            throw new InvalidResponseException("the answer is not a chat completion");
        }
        return answer;
    }

    @Override
    public long bytes() {
        return body.size();
    }
}
