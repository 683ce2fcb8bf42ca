package org.cicadahead.state;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cicadahead.model.RequestId;
import org.cicadahead.model.ResourceKind;
import org.cicadahead.protocol.ConfigurationDelta;
import org.cicadahead.protocol.DeleteResource;
import org.cicadahead.protocol.EditOutcome;
import org.cicadahead.protocol.EditReply;
import org.cicadahead.protocol.PutResource;
import org.cicadahead.protocol.ResourceChange;
import org.junit.jupiter.api.Test;

/**
 * Guards against edits that are lost or applied twice by a resend, edits that overwrite others from an outdated
 * revision, and daemons that miss a change between two heartbeats.
 */
class ConfigurationTableTest {
    private final Tables tables = new Tables();

    @Test
    void editsUnderAnOldRevisionConflictWithTheCurrentResource() {
        ResourceChange created = put("a", 0, "r1", 1).current();
        assertThat(created.revision()).isEqualTo(1);
        EditReply twice = put("a", 0, "r2", 2);
        assertThat(twice.outcome()).isEqualTo(EditOutcome.CONFLICT);
        assertThat(twice.current()).isEqualTo(created);
        assertThat(put("a", 1, "r3", 3).current().revision()).isEqualTo(2);
        assertThat(put("a", 1, "r4", 4).outcome()).isEqualTo(EditOutcome.CONFLICT);
        assertThat(delete("a", 1, "r5").outcome()).isEqualTo(EditOutcome.CONFLICT);
        assertThat(delete("b", 1, "r6").outcome()).isEqualTo(EditOutcome.NOT_FOUND);
        assertThat(put("b", 7, "r7", 1).outcome()).isEqualTo(EditOutcome.CONFLICT);
        assertThat(delete("a", 2, "r8").current().revision()).isEqualTo(3);
        assertThat(put("a", 0, "r9", 5).current().revision()).isEqualTo(4);
    }

    @Test
    void resendGetsTheRecordedResult() {
        EditReply first = put("a", 0, "r1", 1);
        EditReply conflict = put("a", 0, "r2", 2);
        put("a", 1, "r3", 3);
        assertThat(put("a", 0, "r1", 1)).isEqualTo(first);
        assertThat(put("a", 0, "r2", 2)).isEqualTo(conflict);
        assertThat(put("a", 0, "r1", 9).outcome()).isEqualTo(EditOutcome.INVALID);
        assertThat(delete("a", 2, "r1").outcome()).isEqualTo(EditOutcome.INVALID);
        assertThat(delete("a", 2, "r4")).isEqualTo(delete("a", 2, "r4"));
        assertThat(tables.state.configuration().revision()).isEqualTo(3);
        tables.now += ConfigurationTable.REQUEST_RETENTION_MILLIS;
        put("b", 0, "r5", 1);
        assertThat(put("a", 1, "r3", 3).outcome()).isEqualTo(EditOutcome.CONFLICT);
    }

    @Test
    void receiverOlderThanTheListedDeletionsGetsAll() {
        put("kept", 0, "k", 1);
        for (int i = 0; i <= ConfigurationTable.MAX_DELETIONS; i++) {
            long revision = put("a", 0, "p" + i, i).current().revision();
            delete("a", revision, "d" + i);
        }
        assertThat(tables.state.configuration().since(2).get().full()).isTrue();
        assertThat(tables.state.configuration().since(3).get().full()).isFalse();
        assertThat(tables.state.configuration().since(0).get().changes()).hasSize(1);
    }

    /**
     * Checks that a receiver that syncs at random times ends with the resources of the leader, and that each accepted
     * edit gets the next revision.
     */
    @Property(tries = 200)
    void receiverThatSyncsHasTheResourcesOfTheLeader(@ForAll long seed) {
        Random random = new Random(seed);
        Tables table = new Tables();
        Map<String, JsonNode> receiver = new TreeMap<>();
        long receiverRevision = 0;
        long last = 0;
        for (int i = 0; i < 200; i++) {
            String name = "n" + random.nextInt(5);
            long expected = random.nextInt(3) == 0
                    ? random.nextInt(5)
                    : table.state
                            .configuration()
                            .find(ResourceKind.POOL, name)
                            .map(ResourceChange::revision)
                            .orElse(0L);
            RequestId request = RequestId.of("r" + random.nextInt(150));
            boolean known = table.state.configuration().recorded(request).isPresent();
            EditReply reply = (EditReply) table.apply(
                    random.nextInt(3) == 0
                            ? new DeleteResource(ResourceKind.POOL, name, expected, request)
                            : new PutResource(ResourceKind.POOL, name, body(i), expected, request));
            long revision = table.state.configuration().revision();
            boolean accepted = reply.outcome().accepted() && !known;
            assertThat(revision).isEqualTo(accepted ? last + 1 : last);
            last = revision;
            if (random.nextInt(4) == 0) {
                ConfigurationDelta delta =
                        table.state.configuration().since(receiverRevision).orElse(null);
                receiverRevision = apply(receiver, delta, receiverRevision);
            }
        }
        apply(receiver, table.state.configuration().since(receiverRevision).orElse(null), receiverRevision);
        Map<String, JsonNode> leader = new TreeMap<>();
        table.state.configuration().list(ResourceKind.POOL).forEach(c -> leader.put(c.name(), c.body()));
        assertThat(receiver).isEqualTo(leader);
    }

    private static long apply(Map<String, JsonNode> receiver, ConfigurationDelta delta, long revision) {
        if (delta == null) {
            return revision;
        }
        if (delta.full()) {
            receiver.clear();
        }
        long before = 0;
        for (ResourceChange change : delta.changes()) {
            assertThat(change.revision()).isGreaterThan(before);
            before = change.revision();
            if (change.body() == null) {
                receiver.remove(change.name());
            } else {
                receiver.put(change.name(), change.body());
            }
        }
        return delta.revision();
    }

    private static JsonNode body(int value) {
        return JsonNodeFactory.instance.objectNode().put("value", value);
    }

    private EditReply put(String name, long expected, String request, int value) {
        return (EditReply)
                tables.apply(new PutResource(ResourceKind.POOL, name, body(value), expected, RequestId.of(request)));
    }

    private EditReply delete(String name, long expected, String request) {
        return (EditReply) tables.apply(new DeleteResource(ResourceKind.POOL, name, expected, RequestId.of(request)));
    }
}
