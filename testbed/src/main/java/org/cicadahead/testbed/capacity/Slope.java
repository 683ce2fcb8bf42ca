package org.cicadahead.testbed.capacity;

import java.util.List;

/** One quantity that grows with a size. Each measures itself. */
enum Slope {
    /** Bytes of a heartbeat exchange in which nothing changed. */
    SYNC_IDLE_BYTES("endpoints", "bytes", List.of(1L, 10L, 100L, 600L)) {
        @Override
        double measure(long size) throws Exception {
            return MessageSizes.idleSync();
        }
    },
    /** Bytes of the whole table of endpoints, as an entry gets it once. */
    ENDPOINT_TABLE_BYTES("endpoints", "bytes", List.of(1L, 10L, 100L, 600L)) {
        @Override
        double measure(long size) throws Exception {
            return MessageSizes.endpointTable((int) size);
        }
    },
    /** Bytes of one grant exchange for a number of active organisations. */
    GRANT_EXCHANGE_BYTES("organisations", "bytes", List.of(10L, 100L, 1_000L, 5_200L)) {
        @Override
        double measure(long size) throws Exception {
            return MessageSizes.grantExchange((int) size);
        }
    },
    /** Processor time of the leader for one grant exchange. */
    GRANT_EXCHANGE_MICROS("organisations", "us", List.of(10L, 100L, 1_000L, 10_000L)) {
        @Override
        double measure(long size) {
            return StateSizes.grantExchangeMicros((int) size);
        }
    },
    /** Heap of the rate buckets. */
    BUCKET_HEAP("organisations", "bytes", List.of(10L, 100L, 1_000L, 10_000L)) {
        @Override
        double measure(long size) {
            return StateSizes.bucketHeap((int) size);
        }
    },
    /** Heap of organisations with one key each. */
    CONFIGURATION_HEAP("organisations", "bytes", List.of(10L, 100L, 1_000L, 10_000L)) {
        @Override
        double measure(long size) throws Exception {
            return StateSizes.configurationHeap((int) size);
        }
    },
    /** Heap of programs without their histories. */
    PROGRAM_HEAP("programs", "bytes", List.of(100L, 1_000L, 10_000L, 100_000L)) {
        @Override
        double measure(long size) throws Exception {
            return StateSizes.programHeap((int) size);
        }
    },
    /** Processor time to apply the begin and the finish of one step. */
    STEP_MICROS("programs", "us", List.of(100L, 1_000L, 10_000L, 100_000L)) {
        @Override
        double measure(long size) throws Exception {
            return StateSizes.stepMicros((int) size);
        }
    },
    /** Heap of finished claims with an outcome of 200 bytes. */
    CLAIM_HEAP("claims", "bytes", List.of(100L, 1_000L, 10_000L, 100_000L)) {
        @Override
        double measure(long size) throws Exception {
            return StateSizes.claimHeap((int) size);
        }
    },
    /** Processor time of an entry to choose an endpoint. */
    CHOICE_MICROS("endpoints", "us", List.of(10L, 50L, 200L, 600L)) {
        @Override
        double measure(long size) {
            return DecisionTimes.choiceMicros((int) size);
        }
    },
    /** Processor time of an endpoint daemon to queue, poll and finish a run. */
    QUEUE_MICROS("queued", "us", List.of(8L, 32L, 128L, 255L)) {
        @Override
        double measure(long size) {
            return DecisionTimes.queueMicros((int) size);
        }
    },
    /** Processor time of both sides for idle peers with two heartbeats a second each. */
    HEARTBEAT_CORE_PERCENT("peers", "% core", List.of(2L, 30L, 100L, 300L)) {
        @Override
        double measure(long size) throws Exception {
            return PeerLoad.of((int) size).corePercent();
        }
    },
    /** Resident memory of both sides of idle connections. */
    CONNECTION_RESIDENT("peers", "bytes", List.of(2L, 30L, 100L, 300L)) {
        @Override
        double measure(long size) throws Exception {
            return PeerLoad.of((int) size).residentBytes();
        }
    },
    /** Commands a second that three replicas commit, by the number of proposals under way. */
    COMMITS_PER_SECOND("in flight", "1/s", List.of(1L, 16L, 128L, 1_024L)) {
        @Override
        double measure(long size) throws Exception {
            return CommitRate.perSecond((int) size);
        }
    };

    private final String sizeName;
    private final String unit;
    private final List<Long> sizes;

    Slope(String sizeName, String unit, List<Long> sizes) {
        this.sizeName = sizeName;
        this.unit = unit;
        this.sizes = sizes;
    }

    /**
     * Measures the quantity.
     *
     * @param size the size
     * @return the value in the unit
     * @throws Exception if the parts under measurement fail
     */
    abstract double measure(long size) throws Exception;

    String sizeName() {
        return sizeName;
    }

    String unit() {
        return unit;
    }

    List<Long> sizes() {
        return sizes;
    }
}
