package org.cicadahead.ctl;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import org.cicadahead.wire.Codec;
import org.junit.jupiter.api.Test;

class ReportTextTest {

    /**
     * Guards against a status summary that omits a lagging replica, a daemon on an old revision or the worst-served
     * organisation.
     */
    @Test
    void statusSummarisesFleet() throws JsonProcessingException {
        String text = StatusText.render(json("""
                {"leader": "a:1", "term": 7,
                 "configuration": {"revision": 9, "lowest_applied": 8, "highest_applied": 9, "behind": 1},
                 "daemons": [{"id": "entry-1"}],
                 "endpoints": [{"id": "e", "running": 2, "queued": 5, "capacity": 8}],
                 "service": {"worst_served": "acme", "worst_served_share": 0.875, "wrongful_refusals": 3, "asks": 24},
                 "members": [{"voter": true, "lag_entries": 0}, {"voter": false, "lag_entries": 41}]}"""));

        assertThat(text).contains("leader: a:1, term 7\n");
        assertThat(text).contains("replicas: 2, 1 of them vote, the last one lags 41 entries\n");
        assertThat(text).contains("revision: 9, applied 8 to 9, 1 daemons behind\n");
        assertThat(text).contains("fleet: 1 daemons, 1 endpoints, 2 of 8 slots run, 5 requests queued\n");
        assertThat(text).contains("worst served: acme, 87.5% of its asks within the rate\n");
        assertThat(text).contains("wrongful refusals: 3 of 24 asks since the leader began\n");
    }

    /** Guards against an explanation with a reason that was not recorded, or without the earlier failed attempts. */
    @Test
    void explainGivesPlacementReasonOfEachStep() throws JsonProcessingException {
        String text = ExplainText.render(json("""
                {"next_step": 5, "history": [
                 {"step": 1, "placement": {"endpoint": "a", "prompt_tokens": 10, "cached_tokens": 0, "failed": []}},
                 {"step": 2, "placement": {"endpoint": "a", "prompt_tokens": 20, "cached_tokens": 10, "failed": []}},
                 {"step": 3, "placement": {"endpoint": "b", "failed": [
                   {"endpoint": "a", "reason": "endpoint_leaving"}]}},
                 {"step": 4}]}"""));

        assertThat(text).containsMatch("1 +a +10 +0 .*least cost for the first recorded step");
        assertThat(text).containsMatch("2 +a +20 +10 .*stayed where the step before ran");
        assertThat(text).containsMatch("3 +b +- +- .*after a refused or failed \\(endpoint_leaving\\), moved from a");
        assertThat(text).containsMatch("4 +- .*not recorded");
    }

    private static JsonNode json(String text) throws JsonProcessingException {
        return Codec.json().readTree(text);
    }
}
