package org.cicadahead.testbed.bench;

import org.cicadahead.model.QueuePolicy;

/** The current deployments, at their size. */
enum Deployment {
    RESORTE_VIVO("resorte_vivo", 6, 3, 1_500, QueuePolicy.LATENCY),
    BLUE_MAHOE("blue_mahoe", 8, 4, 500, QueuePolicy.FAIR);

    /** Organisations of each deployment with their share of the programs; the first three are large. */
    static final double[] SHARES = {0.30, 0.22, 0.16, 0.08, 0.07, 0.06, 0.06, 0.05};

    /** The weight of an organisation is its share, so that entitled service follows what it pays for. */
    static double weight(int organisation) {
        return SHARES[organisation] * SHARES.length;
    }

    final String label;
    final int engines;
    final int zones;
    final long zoneMicros;
    final QueuePolicy policy;

    Deployment(String label, int engines, int zones, long zoneMicros, QueuePolicy policy) {
        this.label = label;
        this.engines = engines;
        this.zones = zones;
        this.zoneMicros = zoneMicros;
        this.policy = policy;
    }
}
