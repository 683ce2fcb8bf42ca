package org.cicadahead.hub;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.cicadahead.fleet.CrashEvidence;
import org.cicadahead.fleet.DaemonPlace;
import org.cicadahead.fleet.EndpointPhase;
import org.cicadahead.fleet.EndpointRecord;
import org.cicadahead.fleet.FleetMessages;
import org.cicadahead.fleet.FleetRole;
import org.cicadahead.fleet.FleetUpdate;
import org.cicadahead.fleet.PriorityClass;
import org.cicadahead.fleet.QuotaNeed;
import org.cicadahead.fleet.QuotaShares;
import org.cicadahead.fleet.ReportCrashes;
import org.cicadahead.fleet.RequestQuota;
import org.cicadahead.fleet.SiteStored;
import org.cicadahead.model.RequestFingerprint;
import org.cicadahead.protocol.Done;
import org.cicadahead.protocol.MessageCatalog;
import org.cicadahead.quota.QuotaTolerance;
import org.cicadahead.replication.ReplicatedNode;
import org.cicadahead.site.CallerLimits;
import org.cicadahead.site.SiteConfiguration;
import org.cicadahead.site.SiteOrganisation;
import org.cicadahead.watch.FleetWatch;
import org.cicadahead.wire.Addresses;
import org.cicadahead.wire.ControlClient;
import org.cicadahead.wire.TestPorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the updates and quota shares that entries receive from a hub, in a group of one. */
class HubNodeTest {
    private static final long LIMIT_SECONDS = 20;
    private static final long CALL_MILLIS = 5_000;
    private static final double RATE = 1_000;

    @TempDir
    Path folder;

    private final MessageCatalog catalog = ReplicatedNode.catalog(FleetMessages.catalog(MessageCatalog.standard()));
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final List<FleetWatch> watches = new ArrayList<>();
    private String address;
    private HubNode hub;

    @BeforeEach
    void startHub() throws Exception {
        address = "127.0.0.1:" + TestPorts.free();
        hub = start(true);
    }

    @AfterEach
    void stopHub() {
        watches.forEach(FleetWatch::close);
        hub.shutdown(0);
        timer.shutdownNow();
    }

    private HubNode start(boolean bootstrap) throws Exception {
        return HubNode.start(
                new HubConfig("hub", "z", address, List.of(address), folder, bootstrap, 0, 1_000, QuotaTolerance.NONE),
                new MetricRegistry());
    }

    private HubNode startWith(String ownAddress, List<String> seeds, Path dataFolder) throws Exception {
        return HubNode.start(
                new HubConfig(
                        "hub-" + ownAddress, "z", ownAddress, seeds, dataFolder, true, 0, 1_000, QuotaTolerance.NONE),
                new MetricRegistry());
    }

    private List<FleetUpdate> watch(String name) {
        return watchAt(name, address);
    }

    private List<FleetUpdate> watchAt(String name, String hubAddress) {
        List<FleetUpdate> updates = new CopyOnWriteArrayList<>();
        watches.add(FleetWatch.start(
                new DaemonPlace(name, FleetRole.ENTRY, "z", ""), List.of(hubAddress), catalog, timer, updates::add));
        return updates;
    }

    private static SiteConfiguration site(long version) {
        return new SiteConfiguration(
                version,
                List.of(),
                List.of(),
                List.of(new SiteOrganisation("o", List.of(), RATE, RATE, null)),
                CallerLimits.STANDARD);
    }

    private void submit(long version) throws Exception {
        await(() -> {
            SiteStored stored = hub.submit(site(version), new byte[] {1})
                    .exceptionally(failure -> null)
                    .join();
            return stored != null;
        });
    }

    private static void await(BooleanSupplier condition) {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).isLessThan(deadline);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
    }

    private static List<Long> versions(List<FleetUpdate> updates) {
        return updates.stream()
                .filter(update -> update.site() != null)
                .map(update -> update.site().version())
                .distinct()
                .toList();
    }

    /** A confirmation that overtook a change would let an entry decide without it. */
    @Test
    void confirmsTheFleetAfterTheChangesBefore() throws Exception {
        submit(1);
        List<FleetUpdate> updates = watch("e1");
        await(() -> versions(updates).contains(1L));
        FleetWatch watch = watches.get(watches.size() - 1);
        for (int i = 0; i < 200; i++) {
            String id = "endpoint" + i;
            hub.heartbeat(
                    new EndpointRecord(id, 1, 1, "s", "10.0.0.1:" + (i + 1), "z", 1, EndpointPhase.READY, 0, "v"),
                    ReplicatedNode.monotonicMillis());
            assertThat(watch.confirmCurrent(5_000).get(LIMIT_SECONDS, TimeUnit.SECONDS))
                    .isTrue();
            assertThat(updates.stream()
                            .flatMap(update -> update.endpoints().stream())
                            .map(EndpointRecord::id))
                    .contains(id);
        }
    }

    /** A hub that does not answer may know more than the others; one that is not running has told them. */
    @Test
    void doesNotConfirmTheFleetWhileAHubIsSilent() throws Exception {
        submit(1);
        List<FleetUpdate> updates = watch("e1");
        await(() -> versions(updates).contains(1L));
        FleetWatch watch = watches.get(watches.size() - 1);
        String down = "127.0.0.1:" + TestPorts.free();
        watch.updateSeeds(List.of(address, down));
        await(() -> watch.hubs().contains(down));
        assertThat(watch.confirmCurrent(5_000).get(LIMIT_SECONDS, TimeUnit.SECONDS))
                .isTrue();
        try (ServerSocket silent = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
            String silentAddress = "127.0.0.1:" + silent.getLocalPort();
            watch.updateSeeds(List.of(address, silentAddress));
            await(() -> watch.hubs().contains(silentAddress));
            await(() -> !watch.confirmCurrent(50).join());
        }
    }

    /** Every entry must learn which requests crash endpoints, also one that starts after the report. */
    @Test
    void passesReportsOfCrashesToAllEntries() throws Exception {
        submit(1);
        List<FleetUpdate> before = watch("e1");
        await(() -> versions(before).contains(1L));
        CrashEvidence crash =
                new CrashEvidence(RequestFingerprint.of("o", "GET", "/x", new byte[0]), "endpoint@1", false, 0);
        try (ControlClient client = ControlClient.to(List.of(Addresses.parse(address)), catalog)) {
            client.call(new ReportCrashes(List.of(crash)), Done.class, 2_000).get(LIMIT_SECONDS, TimeUnit.SECONDS);
        }
        await(() -> reportsCrash(before, crash));
        List<FleetUpdate> after = watch("e2");
        await(() -> reportsCrash(after, crash));
    }

    private static boolean reportsCrash(List<FleetUpdate> updates, CrashEvidence crash) {
        return updates.stream()
                .flatMap(update -> update.crashes().stream())
                .anyMatch(each -> each.request().equals(crash.request())
                        && each.incarnation().equals(crash.incarnation()));
    }

    /** A restarted hub replays its log and with it earlier configurations, which it must not send to entries. */
    @Test
    void aRestartedHubSendsNoOutdatedVersion() throws Exception {
        for (long version = 1; version <= 20; version++) {
            submit(version);
        }
        hub.shutdown(0);
        hub = start(false);
        List<FleetUpdate> updates = watch("e");
        await(() -> versions(updates).contains(20L));
        assertThat(versions(updates)).containsExactly(20L);
    }

    /**
     * The reserve must fill from the start of the leader's term, not only from the first request for shares, or that
     * request would be granted no tokens.
     */
    @Test
    void theFirstRequestFindsTheTokensAccruedSinceTheTermBegan() throws Exception {
        submit(1);
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(50));
        try (ControlClient client = ControlClient.to(List.of(Addresses.parse(address)), catalog)) {
            QuotaNeed need = new QuotaNeed("o", 5, 0, 0, 0, Map.of(PriorityClass.CALL, 5));
            QuotaShares shares = client.call(new RequestQuota("e", List.of(need)), QuotaShares.class, CALL_MILLIS)
                    .get(LIMIT_SECONDS, TimeUnit.SECONDS);
            assertThat(shares.shares().get(0).extra()).isEqualTo(5);
        }
    }

    /**
     * Changes of the daemons must be batched. If a full list were sent to every watcher for each daemon that joins, the
     * number of updates would grow quadratically with the number of daemons.
     */
    @Test
    void daemonsThatJoinTogetherAreBatched() {
        int others = 40;
        List<FleetUpdate> updates = watch("e");
        await(() -> !updates.isEmpty());
        for (int i = 0; i < others; i++) {
            watch("other-" + i);
        }
        await(() -> updates.stream()
                .anyMatch(update -> update.daemons() != null && update.daemons().size() >= others + 2));
        long updateCount =
                updates.stream().filter(update -> update.daemons() != null).count();
        assertThat(updateCount).isAtMost(others / 2);
    }

    private static EndpointRecord endpoint(EndpointPhase phase, long sequence) {
        return new EndpointRecord("e1", 100, sequence, "s", "10.0.0.1:80", "z", 4, phase, 0, "");
    }

    private static boolean reports(List<FleetUpdate> updates, EndpointPhase phase) {
        return updates.stream()
                .flatMap(update -> update.endpoints().stream())
                .anyMatch(each -> each.id().equals("e1") && each.phase() == phase);
    }

    /**
     * An endpoint told one hub that it leaves. After a restart of that hub, an entry that starts must learn of the
     * departure, though the other hubs have only heard that the endpoint was ready.
     */
    @Test
    void aDepartureOutlivesARestartOfTheHubThatWasTold(@TempDir Path otherFolder) throws Exception {
        hub.shutdown(0);
        String otherAddress = "127.0.0.1:" + TestPorts.free();
        List<String> seeds = List.of(address, otherAddress);
        HubNode told = startWith(address, seeds, folder.resolve("told"));
        HubNode other = startWith(otherAddress, seeds, otherFolder);
        hub = other;
        other.heartbeat(endpoint(EndpointPhase.READY, 1), ReplicatedNode.monotonicMillis());
        List<FleetUpdate> seenByTold = watch("before");
        await(() -> reports(seenByTold, EndpointPhase.READY));
        told.recordDeparture("e1", 100, ReplicatedNode.monotonicMillis());
        List<FleetUpdate> seenByOther = watchAt("other", otherAddress);
        await(() -> reports(seenByOther, EndpointPhase.GONE));
        told.shutdown(0);
        HubNode restarted = startWith(address, seeds, folder.resolve("told"));
        List<FleetUpdate> updates = watch("after");
        await(() -> reports(updates, EndpointPhase.GONE));
        assertThat(reports(updates, EndpointPhase.READY)).isFalse();
        restarted.shutdown(0);
    }

    /** A hub that has not heard of an endpoint for a while must not present it as ready to an entry that starts. */
    @Test
    void aSilentEndpointIsNotReportedAsReady() {
        long longAgo = ReplicatedNode.monotonicMillis() - 10_000;
        hub.heartbeat(endpoint(EndpointPhase.READY, 1), longAgo);
        List<FleetUpdate> updates = watch("e");
        await(() -> !updates.isEmpty());
        assertThat(reports(updates, EndpointPhase.READY)).isFalse();
        hub.heartbeat(endpoint(EndpointPhase.READY, 2), ReplicatedNode.monotonicMillis());
        List<FleetUpdate> later = watch("later");
        await(() -> reports(later, EndpointPhase.READY));
    }

    /** An entry that starts while an endpoint is silent must learn of the endpoint when its heartbeats return. */
    @Test
    void anEntryThatStartedDuringASilenceLearnsOfItsEnd() {
        hub.heartbeat(endpoint(EndpointPhase.READY, 1), ReplicatedNode.monotonicMillis() - 10_000);
        List<FleetUpdate> updates = watch("e");
        await(() -> !updates.isEmpty());
        hub.heartbeat(endpoint(EndpointPhase.READY, 2), ReplicatedNode.monotonicMillis());
        await(() -> reports(updates, EndpointPhase.READY));
    }
}
