package org.cicadahead.testbed.capacity;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import org.cicadahead.grants.Rate;
import org.cicadahead.grants.RateBuckets;
import org.cicadahead.model.ClaimKey;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.IdempotencyKey;
import org.cicadahead.model.Key;
import org.cicadahead.model.KeyDigest;
import org.cicadahead.model.Organisation;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.model.RequestId;
import org.cicadahead.model.ResourceKind;
import org.cicadahead.model.RouteName;
import org.cicadahead.model.RunId;
import org.cicadahead.protocol.BeginClaim;
import org.cicadahead.protocol.BeginStep;
import org.cicadahead.protocol.ClaimRef;
import org.cicadahead.protocol.ClaimReply;
import org.cicadahead.protocol.FinishClaim;
import org.cicadahead.protocol.FinishStep;
import org.cicadahead.protocol.HistoryRecord;
import org.cicadahead.protocol.Outcome;
import org.cicadahead.protocol.PutResource;
import org.cicadahead.protocol.StartClaim;
import org.cicadahead.protocol.StepRef;
import org.cicadahead.protocol.StepReply;
import org.cicadahead.state.ControlState;
import org.cicadahead.state.HistorySink;
import org.cicadahead.wire.Codec;

/** Memory and processor time of the tables of control. */
final class StateSizes {
    private static final RouteName ROUTE = RouteName.of("assistant");
    private static final long NOW = 1_700_000_000_000L;
    private static final long TOKENS = 1_000;
    private static final long BUDGET = 1_000_000_000;
    private static final int MAX_STEPS = 1_000_000;
    private static final long IDLE_MILLIS = 600_000;
    private static final int OUTCOME_BYTES = 200;
    private static final int ROUNDS = 20;
    private static final int TIMED_STEPS = 20_000;
    private static final double NANOS_PER_MICRO = 1_000;

    private static final HistorySink NO_HISTORY = new HistorySink() {
        @Override
        public void append(ProgramKey program, HistoryRecord step) {}

        @Override
        public void delete(ProgramKey program) {}
    };

    private StateSizes() {}

    static double grantExchangeMicros(int organisations) {
        RateBuckets buckets = RateBuckets.create(7, 0);
        long round = -1;
        serve(buckets, organisations, round++);
        long began = System.nanoTime();
        for (int i = 0; i < ROUNDS; i++) {
            serve(buckets, organisations, round++);
        }
        return (System.nanoTime() - began) / NANOS_PER_MICRO / ROUNDS;
    }

    static double bucketHeap(int organisations) {
        try {
            return Heap.heldBy(() -> {
                RateBuckets buckets = RateBuckets.create(7, 0);
                serve(buckets, organisations, -1);
                return buckets;
            });
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    static double configurationHeap(int organisations) throws Exception {
        return Heap.heldBy(() -> {
            ControlState state = ControlState.create(NO_HISTORY);
            for (int i = 0; i < organisations; i++) {
                Organisation organisation = new Organisation(Samples.organisation(i), 10, 20, 1);
                put(state, ResourceKind.ORGANISATION, organisation.resourceName(), organisation, "o" + i);
                Key key = new Key(KeyDigest.of(String.format("%064x", i)), Samples.organisation(i), "key");
                put(state, ResourceKind.KEY, key.resourceName(), key, "k" + i);
            }
            return state;
        });
    }

    static double programHeap(int programs) throws Exception {
        return Heap.heldBy(() -> withPrograms(programs));
    }

    static double stepMicros(int programs) throws Exception {
        ControlState state = withPrograms(programs);
        long began = System.nanoTime();
        for (int i = 0; i < TIMED_STEPS; i++) {
            step(state, i % programs, 2 + i / programs);
        }
        return (System.nanoTime() - began) / NANOS_PER_MICRO / TIMED_STEPS;
    }

    static double claimHeap(int claims) throws Exception {
        return Heap.heldBy(() -> {
            ControlState state = ControlState.create(NO_HISTORY);
            for (int i = 0; i < claims; i++) {
                claim(state, i);
            }
            return state;
        });
    }

    private static void serve(RateBuckets buckets, int organisations, long round) {
        Rate rate = new Rate(Rate.UNITS_PER_REQUEST / 100, 20);
        buckets.serve(10_000 + round * 100, Samples.grants(organisations, round), o -> Optional.of(rate));
    }

    private static void put(ControlState state, ResourceKind kind, String name, Object resource, String request)
            throws Exception {
        JsonNode body = Codec.json().valueToTree(resource);
        state.apply(NOW, new PutResource(kind, name, body, 0, RequestId.of(request)));
    }

    private static ControlState withPrograms(int programs) throws Exception {
        ControlState state = ControlState.create(NO_HISTORY);
        for (int i = 0; i < programs; i++) {
            step(state, i, 1);
        }
        return state;
    }

    private static void step(ControlState state, int number, int step) throws Exception {
        ProgramKey program = Samples.program(number);
        StepReply begun = (StepReply) state.apply(
                NOW,
                new BeginStep(
                        program,
                        null,
                        step,
                        Samples.DIGEST,
                        ROUTE,
                        TOKENS,
                        BUDGET,
                        MAX_STEPS,
                        IDLE_MILLIS,
                        step - 1,
                        Samples.ENTRY,
                        number + "-" + step));
        if (begun.fence() == 0) {
            throw new IllegalStateException("step " + step + " was not granted: " + begun.outcome());
        }
        state.apply(
                NOW,
                new FinishStep(new StepRef(program, step, begun.fence()), TOKENS, new byte[0], new byte[0], false));
    }

    private static void claim(ControlState state, int number) throws Exception {
        ClaimKey key = ClaimKey.of(Samples.organisation(number % 100), IdempotencyKey.of("key-" + number));
        ClaimReply begun = (ClaimReply)
                state.apply(NOW, new BeginClaim(key, Samples.DIGEST, ROUTE, Samples.ENTRY, "nonce-" + number));
        ClaimRef claim = new ClaimRef(key, begun.fence());
        EndpointId endpoint = EndpointId.of("service-1");
        RunId run = RunId.of("run-" + number);
        state.apply(NOW, new StartClaim(claim, endpoint, NOW, run));
        Outcome outcome = new Outcome(200, "application/json", new byte[OUTCOME_BYTES], endpoint);
        state.apply(NOW, new FinishClaim(claim, run, outcome));
    }
}
