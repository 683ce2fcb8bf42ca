package org.cicadahead.endpoint;

import static com.google.common.truth.Truth.assertWithMessage;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.cicadahead.crash.CrashAttribution;
import org.cicadahead.endpoint.FakeControl.Delivery;
import org.cicadahead.endpoint.FakeControl.State;
import org.cicadahead.model.ClaimKey;
import org.cicadahead.model.DaemonId;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.EndpointKind;
import org.cicadahead.model.IdempotencyKey;
import org.cicadahead.model.OrganisationId;
import org.cicadahead.model.QueuePolicy;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.model.RequestDigest;
import org.cicadahead.model.Role;
import org.cicadahead.model.RouteName;
import org.cicadahead.model.RunId;
import org.cicadahead.model.ZoneName;
import org.cicadahead.protocol.ClaimRef;
import org.cicadahead.protocol.DaemonInfo;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.RunEnd;
import org.cicadahead.protocol.RunRequest;
import org.cicadahead.protocol.Usage;
import org.cicadahead.wire.Responder;
import org.junit.jupiter.api.Test;

/**
 * Guards against a claimed request that runs twice, runs without a started claim, or is reported as not run although it
 * may have run. Such faults come about when requests to control or their replies are lost, late or refused, when the
 * service fails, and when the entry cancels the run at any stage. The test combines these faults.
 */
class ClaimFaultTest {
    private static final ClaimRef CLAIM =
            new ClaimRef(ClaimKey.of(OrganisationId.of("acme"), IdempotencyKey.of("k1")), 1);

    /** How the service reacts to the call. */
    enum Service {
        ANSWERS(null),
        BREAKS(Backend.Failure.BROKEN),
        HANGS(Backend.Failure.TIMEOUT),
        UNREACHABLE(Backend.Failure.NOT_SENT);

        private final Backend.Failure failure;

        Service(Backend.Failure failure) {
            this.failure = failure;
        }

        void end(Backend.Sink sink) {
            if (failure == null) {
                sink.data(new byte[] {1}, 0);
                sink.ended(200, "application/json", null);
            } else {
                sink.failed(failure, "injected by the test");
            }
        }

        boolean mayHaveRun() {
            return failure != Backend.Failure.NOT_SENT;
        }
    }

    /** The stage at which the entry cancels. */
    enum Cancel {
        NEVER,
        STARTING,
        RUNNING,
        FINISHING
    }

    private record Case(Delivery start, Service service, Delivery record, Cancel cancel) {}

    @Test
    void everyFaultCombinationKeepsClaimAndReplyConsistent() {
        List<Case> cases = new ArrayList<>();
        for (Delivery start : Delivery.values()) {
            for (Service service : Service.values()) {
                for (Delivery record : List.of(
                        Delivery.ANSWERED, Delivery.REQUEST_LOST, Delivery.ANSWER_LOST, Delivery.REQUEST_LATE)) {
                    Stream.of(Cancel.values()).forEach(cancel -> cases.add(new Case(start, service, record, cancel)));
                }
            }
        }
        cases.forEach(this::check);
        assertWithMessage("cases").that(cases).hasSize(6 * 4 * 4 * 4);
    }

    private void check(Case test) {
        Fixture fixture = new Fixture();
        fixture.control.addDelivery(test.start());
        fixture.control.addDelivery(test.record());
        fixture.dispatcher.accept(fixture.request(), fixture);
        fixture.cancelIf(test.cancel() == Cancel.STARTING);
        fixture.control.deliverAll();
        if (fixture.sink != null) {
            fixture.cancelIf(test.cancel() == Cancel.RUNNING);
            test.service().end(fixture.sink);
            fixture.cancelIf(test.cancel() == Cancel.FINISHING);
            fixture.control.deliverAll();
        }
        fixture.control.deliverLate();
        State state = fixture.control.state;
        String description = test.toString();
        assertWithMessage("%s: calls of the service", description)
                .that(fixture.calls)
                .isAtMost(1);
        assertWithMessage("%s: called without a started claim", description)
                .that(fixture.calledWithoutStartedClaim)
                .isFalse();
        assertWithMessage("%s: replies to the entry", description)
                .that(fixture.ends)
                .hasSize(1);
        assertWithMessage("%s: open runs", description)
                .that(fixture.dispatcher.openRuns())
                .isEqualTo(0);
        assertWithMessage("%s: unacknowledged commands", description)
                .that(fixture.claims.unacknowledged())
                .isEqualTo(0);
        boolean mayHaveRun = fixture.calls > 0 && test.service().mayHaveRun();
        assertWithMessage("%s: reported as not run", description)
                .that(fixture.ends.get(0).notRun())
                .isEqualTo(!mayHaveRun);
        if (mayHaveRun) {
            State expected = test.service() == Service.ANSWERS ? State.DONE : State.UNKNOWN;
            assertWithMessage("%s: state of the claim", description).that(state).isEqualTo(expected);
        } else {
            // If the start was never sent, the claim may stay pending until the entry releases it.
            boolean pendingAllowed = test.start() == Delivery.NOT_SENT;
            assertWithMessage("%s: state of the claim", description)
                    .that(state == State.RELEASED || pendingAllowed && state == State.PENDING)
                    .isTrue();
        }
    }

    /** A dispatcher with one request, without threads or real time. */
    private static final class Fixture implements RunDispatcher.Context, Responder, Backend {
        private final FakeControl control = new FakeControl();
        private final ScheduledExecutorService timer = new InlineTimer();
        private final ClaimClient claims = new ClaimClient(control, EndpointId.of("e1"), 1, timer);
        private final List<RunEnd> ends = new ArrayList<>();
        private final RunDispatcher dispatcher =
                new RunDispatcher(config(), new MetricRegistry(), new PoisonTableReplica(), this);
        private Runnable cancelAction;
        private Backend.Sink sink;
        private int calls;
        private boolean calledWithoutStartedClaim;

        void cancelIf(boolean cancels) {
            if (cancels) {
                cancelAction.run();
            }
        }

        RunRequest request() {
            OrganisationId organisation = OrganisationId.of("acme");
            return new RunRequest(
                    RunId.of("r1"),
                    organisation,
                    1,
                    null,
                    null,
                    0,
                    CLAIM,
                    RouteName.of("route"),
                    QueuePolicy.FAIR,
                    RequestDigest.of("0".repeat(64)),
                    false,
                    "POST",
                    "/call",
                    Map.of(),
                    new byte[] {1},
                    false,
                    0,
                    0,
                    60_000);
        }

        private static EndpointConfig config() {
            return new EndpointConfig(
                    new DaemonInfo(DaemonId.of("d1"), Set.of(Role.ENDPOINT), ZoneName.of("z1"), 1, "127.0.0.1:1"),
                    EndpointId.of("e1"),
                    EndpointKind.SERVICE,
                    Set.of(),
                    Set.of(),
                    URI.create("http://127.0.0.1:1"),
                    List.of(),
                    new InetSocketAddress(0),
                    4,
                    1_000,
                    true,
                    1);
        }

        @Override
        public Runnable run(RunRequest request, byte[] body, long timeoutMillis, Backend.Sink target) {
            calls++;
            calledWithoutStartedClaim |=
                    control.state != State.STARTED || !request.run().equals(control.startedBy);
            sink = target;
            return () -> {};
        }

        @Override
        public void reply(Message reply) {
            ends.add((RunEnd) reply);
        }

        @Override
        public boolean part(Message part) {
            return true;
        }

        @Override
        public void fail(String text) {
            throw new AssertionError(text);
        }

        @Override
        public void onCancel(Runnable action) {
            cancelAction = action;
        }

        @Override
        public long queuedBytes() {
            return 0;
        }

        @Override
        public boolean isAvailable() {
            return true;
        }

        @Override
        public long cachedTokens() {
            return 0;
        }

        @Override
        public void tick() {}

        @Override
        public void probe() {}

        @Override
        public Optional<RefusalReason> refusal(RunRequest request) {
            return Optional.empty();
        }

        @Override
        public Backend backend() {
            return this;
        }

        @Override
        public ClaimClient claims() {
            return claims;
        }

        @Override
        public ScheduledExecutorService timer() {
            return timer;
        }

        @Override
        public void runStarted(RunTask task) {}

        @Override
        public void runEnded(RunTask task, Usage usage) {}

        @Override
        public void engineCrashed(CrashAttribution.Crash crash) {}

        @Override
        public void suspectCleared(RequestDigest digest) {}
    }

    /** Runs retries immediately and drops tasks that are scheduled for a deadline, which have a long delay. */
    private static final class InlineTimer extends ScheduledThreadPoolExecutor {
        private static final long MIN_DEADLINE_DELAY_MILLIS = 10_000;

        InlineTimer() {
            super(0);
        }

        @Override
        public ScheduledFuture<?> schedule(Runnable action, long delay, TimeUnit unit) {
            if (unit.toMillis(delay) < MIN_DEADLINE_DELAY_MILLIS) {
                action.run();
            }
            return null;
        }
    }
}
