package org.cicadahead.testbed.soak;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ThreadLocalRandom;
import java.util.zip.CRC32C;
import org.cicadahead.platform.WireNames;
import org.cicadahead.testbed.fleet.FaultyLink;
import org.cicadahead.testbed.fleet.FleetException;
import org.cicadahead.testbed.fleet.Ports;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;

/** An endpoint behind a faulty link. It answers with a checksum of what it received. */
final class SoakEndpoint implements Closeable {
    private static final int OK = 200;
    private static final int MISDIRECTED = 421;
    /** The number of events of a stream that callers may resume. */
    static final int STREAM_EVENTS = 4;

    private static final int BREAK_OFF_CHANCE = 3;

    private final String id;
    private final String version;
    private final Server server;
    private final FaultyLink link;
    private final SoakDeparture departure;

    private SoakEndpoint(String id, String version, SoakDeparture departure, Server server, FaultyLink link) {
        this.id = id;
        this.departure = departure;
        this.version = version;
        this.server = server;
        this.link = link;
    }

    static SoakEndpoint start(String id, String version, SoakLimit limit, SoakDeparture departure, SoakJudge judge)
            throws FleetException {
        Server server = new Server();
        ServerConnector connector = new ServerConnector(server, 1, 1);
        connector.setHost("127.0.0.1");
        server.addConnector(connector);
        server.setHandler(new Answers(id, version, limit, departure, judge));
        try {
            server.start();
        } catch (Exception e) {
            throw new FleetException("the endpoint " + id + " cannot start", e);
        }
        return new SoakEndpoint(
                id, version, departure, server, FaultyLink.start(Ports.free(), connector.getLocalPort()));
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

    String id() {
        return id;
    }

    SoakDeparture departure() {
        return departure;
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
            throw new IOException("the endpoint " + id + " does not stop", e);
        }
    }

    private static final class Answers extends Handler.Abstract {
        private final String id;
        private final String version;
        private final SoakLimit limit;
        private final SoakDeparture departure;
        private final SoakJudge judge;

        Answers(String id, String version, SoakLimit limit, SoakDeparture departure, SoakJudge judge) {
            this.departure = departure;
            this.id = id;
            this.version = version;
            this.limit = limit;
            this.judge = judge;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) throws IOException {
            String attempt = request.getHeaders().get(WireNames.ATTEMPT);
            response.getHeaders().put(WireNames.ATTEMPT, attempt);
            limit.requestArrived().ifPresent(text -> response.getHeaders().put(WireNames.REQUEST_LIMIT, text));
            stateDeparture(response, SoakJudge.now());
            if (!id.equals(request.getHeaders().get(WireNames.INSTANCE))) {
                response.setStatus(MISDIRECTED);
                response.getHeaders().put(WireNames.NOT_RUN, "1");
                callback.succeeded();
                return true;
            }
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            Content.Source.asInputStream(request).transferTo(body);
            judge.ran(attempt);
            judge.request(attempt).ifPresent(each -> departure.requestArrived(each, SoakJudge.now()));
            if (request.getHeaders().get(WireNames.KEY) != null) {
                judge.violation("an endpoint saw a key: " + attempt);
            }
            response.setStatus(OK);
            response.getHeaders().put(WireNames.SIGNATURE, "seal-" + attempt);
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
            if (request.getHttpURI().getPath().startsWith("/resume/")) {
                stream(request, response, callback);
                return true;
            }
            String[] data = events(body.toByteArray(), attempt).split("\n");
            String text = "id: 1\ndata: " + data[0] + "\n\nid: 2\ndata: " + data[1] + "\n\n";
            response.write(true, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), callback);
            return true;
        }

        private void stateDeparture(Response response, long nowMillis) {
            if (departure.isLeaving(nowMillis)) {
                response.getHeaders().put(WireNames.LEAVING, WireNames.YES);
                response.getHeaders().put(SoakDeparture.NAME_HEADER, departure.name(nowMillis));
            }
        }

        /** Sends the events after the last one that the caller has, and breaks off before the end now and then. */
        private void stream(Request request, Response response, Callback callback) {
            String last = request.getHeaders().get("Last-Event-Id");
            int first = last == null ? 1 : Integer.parseInt(last) + 1;
            ThreadLocalRandom random = ThreadLocalRandom.current();
            boolean breaksOff = random.nextInt(BREAK_OFF_CHANCE) == 0;
            int end = breaksOff && first < STREAM_EVENTS ? random.nextInt(first, STREAM_EVENTS) : STREAM_EVENTS;
            StringBuilder events = new StringBuilder();
            for (int event = first; event <= end; event++) {
                events.append("id: ")
                        .append(event)
                        .append("\ndata: ")
                        .append(version)
                        .append("\n\n");
            }
            ByteBuffer bytes = ByteBuffer.wrap(events.toString().getBytes(StandardCharsets.UTF_8));
            if (end == STREAM_EVENTS) {
                response.write(true, bytes, callback);
            } else {
                response.write(
                        false,
                        bytes,
                        Callback.from(() -> callback.failed(new IOException("broken off")), callback::failed));
            }
        }
    }
}
