package org.cicadahead.testbed.capacity;

import java.util.Optional;
import org.cicadahead.grants.Rate;
import org.cicadahead.grants.RateBuckets;
import org.cicadahead.protocol.GrantRequest;
import org.cicadahead.protocol.Sync;
import org.cicadahead.protocol.SyncReply;
import org.cicadahead.wire.Codec;
import org.cicadahead.wire.WireException;

/** Sizes of messages in bytes, without the frame head of about 25 bytes. */
final class MessageSizes {
    private static final long START_MILLIS = 10_000;

    private MessageSizes() {}

    static double idleSync() throws WireException {
        Sync sync = new Sync(Samples.daemon(), 470, 7, 1_200, 85_000, 3, Samples.announcement(1), Samples.load());
        SyncReply reply = new SyncReply(2_000, null, null, null, null, false);
        return Codec.pack(sync).length + (double) Codec.pack(reply).length;
    }

    static double endpointTable(int endpoints) throws WireException {
        return Codec.pack(Samples.table(endpoints)).length;
    }

    static double grantExchange(int organisations) throws WireException {
        RateBuckets buckets = RateBuckets.create(7, 0);
        GrantRequest request = Samples.grants(organisations, 1);
        Rate rate = new Rate(Rate.UNITS_PER_REQUEST / 100, 20);
        return Codec.pack(request).length
                + (double) Codec.pack(buckets.serve(START_MILLIS, request, o -> Optional.of(rate))).length;
    }
}
