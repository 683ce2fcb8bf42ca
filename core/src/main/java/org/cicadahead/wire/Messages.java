package org.cicadahead.wire;

import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.MessageCatalog;

/** Decodes the messages that frames contain. */
final class Messages {

    private Messages() {}

    static Message decode(Frame frame, MessageCatalog catalog) throws WireException {
        Class<? extends Message> type = catalog.type(frame.type());
        if (type == null) {
            throw new WireException(WireException.Kind.MALFORMED, "message type " + frame.type() + " is not known");
        }
        return Codec.unpack(frame.body(), type);
    }
}
