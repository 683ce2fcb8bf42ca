package org.cicadahead.testbed.bench;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.cicadahead.grants.Rate;
import org.cicadahead.grants.RateBuckets;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.EndpointKind;
import org.cicadahead.model.EndpointState;
import org.cicadahead.model.Organisation;
import org.cicadahead.model.OrganisationId;
import org.cicadahead.model.PoolName;
import org.cicadahead.model.ProgramId;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.model.ZoneName;
import org.cicadahead.protocol.Announcement;
import org.cicadahead.protocol.EndpointsDelta;
import org.cicadahead.routing.ChoiceRequest;

/**
 * Runs a workload in virtual time. No processes and no network: messages take a constant time, and nothing fails but
 * the one engine that may be taken away.
 */
final class Simulation {
    private static final PoolName POOL = PoolName.of("planning");
    private static final String MODEL = "assistant";
    private static final long CLIENT_MICROS = 1_000;
    private static final long SYNC_MICROS = 500_000;
    private static final long STALE_MILLIS = 2_000;
    private static final int MAX_PINGS = 3;
    /** A silent endpoint leaves the table after this time. */
    private static final long REMOVAL_MICROS = 2_000_000;

    /** No organisation exceeds its rate on purpose. */
    static final int NO_OFFENDER = -1;

    /** The leader began this long before the first program, as a new leader starts with empty buckets. */
    private static final long BEFORE_MICROS = 15_000_000;

    private static final int MAX_ATTEMPTS = 4;
    private static final int MAX_REFUSALS = 5;
    private static final int ENTRIES_PER_ZONE = 1;
    /** The time after the last start in which programs may still end. */
    private static final long DRAIN_MICROS = 3_600_000_000L;

    private final Clock clock = new Clock(BEFORE_MICROS);
    private final Results results = new Results();
    private final Workload workload;
    private final Deployment deployment;
    private final Variant variant;
    private final Random random;
    private final List<SimEndpoint> endpoints = new ArrayList<>();
    private final List<SimEntry> entries = new ArrayList<>();
    private final List<Organisation> organisations;
    private final List<ExactBucket> exact = new ArrayList<>();
    /** Every offered request takes from these, so that one below zero belongs to an organisation over its rate. */
    private final List<ExactBucket> offered = new ArrayList<>();

    private final RateBuckets buckets = RateBuckets.create(1, 0);
    private final List<ProgramKey> ended = new ArrayList<>();
    private int offender = NO_OFFENDER;
    private int open;

    private Simulation(
            Workload workload, Deployment deployment, Variant variant, List<Organisation> organisations, long seed) {
        this.workload = workload;
        this.deployment = deployment;
        this.variant = variant;
        this.organisations = organisations;
        this.random = new Random(seed);
        for (Organisation organisation : organisations) {
            offered.add(new ExactBucket(organisation.ratePerSecond(), organisation.burst()));
            exact.add(new ExactBucket(organisation.ratePerSecond(), organisation.burst()));
        }
        for (int i = 0; i < deployment.engines; i++) {
            endpoints.add(new SimEndpoint(i, clock, variant, deployment.policy, this::countWaste));
        }
        for (int i = 0; i < deployment.zones * ENTRIES_PER_ZONE; i++) {
            int zone = i % deployment.zones;
            SimEntry entry = new SimEntry(
                    i,
                    zone,
                    hop(zone, 0),
                    clock,
                    seed + i + 1,
                    request -> buckets.serve(
                            clock.millis(), request, name -> organisation(name).map(Rate::of)));
            entry.chooser.apply(
                    new EndpointsDelta(
                            true,
                            1,
                            1,
                            endpoints.stream().map(this::announcement).toList(),
                            List.of()),
                    0);
            entries.add(entry);
        }
        clock.every(SYNC_MICROS, this::sync);
    }

    /**
     * Runs a workload to its end.
     *
     * @param offender the organisation whose callers give up after some refusals, or {@link #NO_OFFENDER}
     * @param lossMicros when the first engine is taken away; negative for never
     */
    static Results run(
            Workload workload,
            Deployment deployment,
            Variant variant,
            List<Organisation> organisations,
            long seed,
            int offender,
            long lossMicros) {
        Simulation simulation = new Simulation(workload, deployment, variant, organisations, seed);
        simulation.offender = offender;
        if (lossMicros >= 0) {
            simulation.clock.after(lossMicros, simulation::loseEngine);
        }
        return simulation.run();
    }

    private Results run() {
        for (Workload.Spec spec : workload.programs()) {
            open++;
            clock.after(spec.startMicros(), () -> {
                SimProgram program = new SimProgram(spec, null, List.of(), () -> {
                    results.finished.add(new Results.Finished(
                            spec.organisation(), spec.startMicros(), elapsed(), spec.perfectMicros()));
                    open--;
                });
                next(program);
            });
        }
        long limit = workload.lengthMicros() + DRAIN_MICROS;
        while (open > 0 && elapsed() < limit) {
            clock.step();
        }
        results.unfinished = open;
        return results;
    }

    /** A program that runs. */
    private static final class SimProgram {
        private final Workload.Spec spec;
        private final ProgramKey key;
        private final ProgramKey root;
        private final List<ProgramKey> relatives;
        private final Runnable done;
        private int turn;
        private long context;
        private long spent;
        private int refusals;

        SimProgram(Workload.Spec spec, ProgramKey root, List<ProgramKey> relatives, Runnable done) {
            this.spec = spec;
            this.key = ProgramKey.of(organisationId(spec.organisation()), ProgramId.of(spec.name()));
            this.root = root == null ? key : root;
            this.relatives = relatives;
            this.done = done;
            this.context = spec.inheritedTokens();
        }

        Request request() {
            Workload.Turn step = spec.turns().get(turn);
            return new Request(
                    key,
                    root,
                    relatives,
                    spec.organisation(),
                    spec.inheritedTokens(),
                    context + step.newTokens(),
                    spent,
                    step);
        }
    }

    static OrganisationId organisationId(int number) {
        return OrganisationId.of("org-" + (number + 1));
    }

    private void next(SimProgram program) {
        SimEntry entry = entries.get(random.nextInt(entries.size()));
        clock.after(CLIENT_MICROS, () -> {
            if (variant == Variant.NAIVE) {
                send(entry, program, program.request(), new HashSet<>());
            } else {
                admit(entry, program);
            }
        });
    }

    private void admit(SimEntry entry, SimProgram program) {
        int number = program.spec.organisation();
        boolean within = offered.get(number).take(clock.micros());
        entry.admit(organisations.get(number), decision -> {
            if (decision.isEmpty() || decision.get().refusal().isEmpty()) {
                results.admitted[number] += elapsed() <= workload.lengthMicros() ? 1 : 0;
                if (!exact.get(number).take(clock.micros())) {
                    results.overAdmitted++;
                }
                send(entry, program, program.request(), new HashSet<>());
                return;
            }
            boolean limited = decision.get().refusal().get() == RefusalReason.RATE_LIMITED;
            if (within || !limited) {
                results.wrongful++;
            } else {
                results.refusedOverRate++;
                results.refusedWhileHeld += exact.get(number).holds(clock.micros()) ? 1 : 0;
                results.levelAtRefusal += exact.get(number).share();
            }
            refused(program, Math.max(1, decision.get().retryAfterMillis()) * 1_000);
        });
    }

    /** A caller sends a refused step again after the time that the refusal states, a few times. */
    private void refused(SimProgram program, long delayMicros) {
        program.refusals++;
        if (program.refusals > MAX_REFUSALS && program.spec.organisation() == offender) {
            results.abandoned++;
            if (program.root.equals(program.key)) {
                open--;
                ended.add(program.key);
            } else {
                end(program);
            }
            return;
        }
        clock.after(delayMicros, () -> next(program));
    }

    private void send(SimEntry entry, SimProgram program, Request request, Set<EndpointId> avoided) {
        SimEndpoint endpoint = choose(entry, request, avoided);
        if (endpoint == null || avoided.size() >= MAX_ATTEMPTS) {
            results.wrongful++;
            refused(program, SYNC_MICROS);
            return;
        }
        int zone = endpoints.indexOf(endpoint) % deployment.zones;
        long hop = hop(entry.zone, zone);
        clock.after(
                hop,
                () -> endpoint.accept(
                        request,
                        refusal ->
                                clock.after(hop, () -> answered(entry, program, request, avoided, endpoint, refusal))));
    }

    private SimEndpoint choose(SimEntry entry, Request request, Set<EndpointId> avoided) {
        if (variant == Variant.NAIVE) {
            List<SimEndpoint> alive =
                    endpoints.stream().filter(e -> !avoided.contains(e.id)).toList();
            return alive.isEmpty() ? null : alive.get(Math.floorMod(entry.nextRoundRobin(), alive.size()));
        }
        ChoiceRequest choice = new ChoiceRequest(
                POOL, MODEL, request.key(), request.root(), request.promptTokens(), avoided, Set.of());
        return entry.chooser
                .choose(choice, clock.millis())
                .map(announcement -> endpoint(announcement.endpoint()))
                .orElse(null);
    }

    private void answered(
            SimEntry entry,
            SimProgram program,
            Request request,
            Set<EndpointId> avoided,
            SimEndpoint endpoint,
            Optional<RefusalReason> refusal) {
        long now = clock.millis();
        if (refusal.isPresent()) {
            entry.chooser.failed(endpoint.id, refusal.get() == RefusalReason.ENDPOINT_FAILED, now);
            avoided.add(endpoint.id);
            send(entry, program, request, avoided);
            return;
        }
        long context = request.promptTokens() + request.turn().outputTokens();
        entry.chooser.completed(endpoint.id, request.key(), request.root(), context);
        entry.chooser.report(endpoint.id, endpoint.load(), now);
        results.requests++;
        if (elapsed() <= workload.lengthMicros()) {
            results.servedTokens[program.spec.organisation()] +=
                    request.turn().outputTokens() + request.turn().newTokens();
        }
        program.spent += context;
        program.context = context;
        program.refusals = 0;
        clock.after(CLIENT_MICROS, () -> afterTurn(program, request.turn()));
    }

    private void afterTurn(SimProgram program, Workload.Turn turn) {
        program.turn++;
        if (program.turn == program.spec.turns().size()) {
            end(program);
            return;
        }
        int[] left = {turn.children().size() + 1};
        Runnable joined = () -> {
            left[0]--;
            if (left[0] == 0) {
                next(program);
            }
        };
        List<ProgramKey> relatives = new ArrayList<>(List.of(program.key));
        for (Workload.Spec child : turn.children()) {
            relatives.add(ProgramKey.of(program.key.organisation(), ProgramId.of(child.name())));
        }
        for (Workload.Spec child : turn.children()) {
            next(new SimProgram(child, program.root, relatives, joined));
        }
        clock.after(turn.pauseMicros(), joined);
    }

    private void end(SimProgram program) {
        ended.add(program.key);
        program.done.run();
    }

    /** What entries and endpoints learn every 500 ms. */
    private void sync() {
        List<ProgramKey> gone = List.copyOf(ended);
        ended.clear();
        endpoints.forEach(endpoint -> endpoint.ended(gone));
        for (SimEntry entry : entries) {
            for (Announcement stale : entry.chooser.stale(STALE_MILLIS, MAX_PINGS, clock.millis())) {
                SimEndpoint endpoint = endpoint(stale.endpoint());
                if (!endpoint.isDead()) {
                    entry.chooser.report(endpoint.id, endpoint.load(), clock.millis());
                }
            }
        }
    }

    private void loseEngine() {
        SimEndpoint lost = endpoints.get(0);
        lost.kill();
        EndpointsDelta delta = new EndpointsDelta(false, 1, 2, List.of(), List.of(lost.id));
        clock.after(REMOVAL_MICROS, () -> entries.forEach(entry -> entry.chooser.apply(delta, clock.millis())));
    }

    private void countWaste(SimEndpoint chosen, Request request) {
        long here = chosen.engine.cached(request);
        long best = here;
        long lost = 0;
        for (SimEndpoint endpoint : endpoints) {
            best = Math.max(best, endpoint.isDead() ? 0 : endpoint.engine.cached(request));
            lost = Math.max(lost, endpoint.takeLostToGone(request.key()));
        }
        long recomputed = request.promptTokens() - here;
        results.promptTokens += request.promptTokens();
        results.recomputedTokens += recomputed;
        results.wastedElsewhere += best - here;
        results.wastedForGone += Math.min(
                lost, Math.max(0, request.promptTokens() - request.turn().newTokens() - best));
    }

    private long elapsed() {
        return clock.micros() - BEFORE_MICROS;
    }

    private long hop(int from, int to) {
        return from == to ? 100 : deployment.zoneMicros;
    }

    private SimEndpoint endpoint(EndpointId id) {
        return endpoints.stream().filter(e -> e.id.equals(id)).findFirst().orElseThrow();
    }

    private Optional<Organisation> organisation(OrganisationId name) {
        return organisations.stream().filter(o -> o.name().equals(name)).findFirst();
    }

    private Announcement announcement(SimEndpoint endpoint) {
        int number = endpoints.indexOf(endpoint);
        return new Announcement(
                endpoint.id,
                1,
                EndpointKind.ENGINE,
                Set.of(POOL),
                Set.of(MODEL),
                ZoneName.of("zone-" + number % deployment.zones),
                "127.0.0.1:" + (number + 1),
                EndpointState.READY,
                FakeEngine.CAPACITY);
    }
}
