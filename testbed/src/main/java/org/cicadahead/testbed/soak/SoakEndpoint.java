package org.cicadahead.testbed.soak;

import java.io.Closeable;
import java.io.IOException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.zip.CRC32C;
import org.cicadahead.platform.WireNames;
import org.cicadahead.testbed.fleet.FaultyLink;
import org.cicadahead.testbed.fleet.FleetException;
import org.cicadahead.testbed.fleet.Ports;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;

/**
 * An endpoint behind a faulty link. It answers with a checksum of what it received, and comes back as another
 * incarnation after a crash. Thread-safe.
 */
final class SoakEndpoint implements Closeable {
    private static final int DOWN_MIN_MILLIS = 1_000;
    private static final int DOWN_MAX_MILLIS = 2_000;
    /** The time that bytes which were written need through the link, in milliseconds. */
    private static final long FLUSH_MILLIS = 20;

    private final String name;
    private final String version;
    private final Server server = new Server();
    private final FaultyLink link;
    private final SoakLimit limit;
    private final SoakDeparture departure;
    private final SoakOutages outages = new SoakOutages();
    private final SoakOutages crashes = new SoakOutages();
    private final SoakJudge judge;
    private volatile String id;
    private volatile boolean up = true;
    private int incarnations;

    private SoakEndpoint(String name, String version, SoakLimit limit, SoakDeparture departure, SoakJudge judge)
            throws FleetException {
        this.name = name;
        this.id = name;
        this.version = version;
        this.limit = limit;
        this.departure = departure;
        this.judge = judge;
        ServerConnector connector = new ServerConnector(server, 1, 1);
        connector.setHost("127.0.0.1");
        server.addConnector(connector);
        server.setHandler(new SoakAnswers(this, version, judge));
        try {
            server.start();
        } catch (Exception e) {
            throw new FleetException("the endpoint " + name + " cannot start", e);
        }
        this.link = FaultyLink.start(Ports.free(), connector.getLocalPort());
    }

    static SoakEndpoint start(String name, String version, SoakLimit limit, SoakDeparture departure, SoakJudge judge)
            throws FleetException {
        return new SoakEndpoint(name, version, limit, departure, judge);
    }

    /** Returns the checksum with which the endpoint answers a text. */
    static String checksum(byte[] text) {
        CRC32C sum = new CRC32C();
        sum.update(text);
        return Long.toHexString(sum.getValue());
    }

    /** Returns the data of the events with which the endpoint answers a text, each with a line feed. */
    static String events(byte[] text, String attempt) {
        return checksum(text) + "\nend-" + attempt + "\n";
    }

    FaultyLink link() {
        return link;
    }

    /** Returns the id of the present incarnation. */
    String id() {
        return id;
    }

    /** Returns the name of the endpoint, which its incarnations have in common. */
    String name() {
        return name;
    }

    /** Returns the times at which the link was disturbed. */
    SoakOutages outages() {
        return outages;
    }

    /** Returns whether the endpoint crashed in a span of monotonic milliseconds, or had not come back before it. */
    boolean crashedWithin(long fromMillis, long toMillis) {
        return crashes.isWithin(fromMillis, toMillis);
    }

    /** Returns whether the endpoint was down or its link was disturbed in a span of monotonic milliseconds. */
    boolean disturbedWithin(long fromMillis, long toMillis) {
        return crashes.isWithin(fromMillis, toMillis) || outages.isWithin(fromMillis, toMillis);
    }

    SoakDeparture departure() {
        return departure;
    }

    /** Returns whether the endpoint runs and sends heartbeats. */
    boolean isUp() {
        return up;
    }

    /** Ends all connections and comes back after a second or more with a new id, or with a new start time only. */
    void crash() {
        synchronized (this) {
            if (!up) {
                return;
            }
            up = false;
        }
        crashes.began(SoakJudge.now());
        pause(FLUSH_MILLIS);
        link.refuse(ThreadLocalRandom.current().nextBoolean());
        Thread restart = new Thread(this::comeBack, "restart-" + name);
        restart.setDaemon(true);
        restart.start();
    }

    private void comeBack() {
        pause(ThreadLocalRandom.current().nextInt(DOWN_MIN_MILLIS, DOWN_MAX_MILLIS));
        incarnations++;
        if (incarnations % 2 == 0) {
            id = name + "-" + incarnations;
        }
        departure.restarted(System.currentTimeMillis());
        limit.restarted();
        try {
            link.accept();
            crashes.ended(SoakJudge.now());
            up = true;
        } catch (FleetException e) {
            judge.violation("the soak cannot restart an endpoint: " + e.getMessage());
        }
    }

    /** States the limit and the departure of the endpoint in a response. */
    void describe(HttpFields.Mutable headers) {
        limit.requestArrived().ifPresent(text -> headers.put(WireNames.REQUEST_LIMIT, text));
        long now = SoakJudge.now();
        if (departure.isLeaving(now)) {
            headers.put(WireNames.LEAVING, WireNames.YES);
            headers.put(SoakDeparture.NAME_HEADER, departure.name(now));
        }
    }

    /** Reports a request that reached its incarnation. */
    SoakArrival received(String attempt, String timeLeft) {
        long now = SoakJudge.now();
        judge.request(attempt).ifPresent(request -> departure.requestArrived(request, now));
        SoakArrival arrival =
                new SoakArrival(attempt, this, now, timeLeft == null ? Integer.MAX_VALUE : Long.parseLong(timeLeft));
        judge.arrived(arrival);
        return arrival;
    }

    String heartbeat(long sequence) {
        return "{\"service\":\"soak\",\"address\":\"127.0.0.1:" + link.port() + "\",\"zone\":\"z\",\"version\":\""
                + version + "\"," + "\"slots\":16,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":" + sequence
                + ",\"born\":" + departure.bornMillis(SoakJudge.now()) + "}";
    }

    @Override
    public void close() throws IOException {
        link.close();
        try {
            server.stop();
        } catch (Exception e) {
            throw new IOException("the endpoint " + name + " does not stop", e);
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
