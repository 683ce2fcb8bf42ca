package org.cicadahead.gateway;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import org.cicadahead.fleet.EndpointRecord;
import org.cicadahead.fleet.PriorityClass;
import org.cicadahead.model.RequestFingerprint;

/** Collects the decisions made on one request and formats them as its line in the decision log. Not thread-safe. */
final class RequestTrace {
    private static final JsonFactory JSON = new JsonFactory();

    private final CallerRequest caller;
    private final List<Attempt> attempts = new ArrayList<>();
    private AdmittedRequest admitted;
    private long siteVersion;
    private PriorityClass priority;
    private long rateAdmittedAfterMillis = -1;
    private long openedAfterMillis = -1;
    private Writing writing = Writing.NONE;
    private RequestFingerprint suspect;

    private record Attempt(
            EndpointRecord endpoint,
            String outcome,
            ResponseSummary response,
            long beganMillis,
            long endedMillis,
            Writing writing,
            RequestFingerprint suspect) {}

    /** The time at which an attempt was written to its connection, and the time limit stated to the endpoint. */
    record Writing(long millis, long timeLeftMillis) {
        static final Writing NONE = new Writing(-1, -1);
    }

    RequestTrace(CallerRequest caller) {
        this.caller = caller;
    }

    void admitted(AdmittedRequest request, long version) {
        admitted = request;
        siteVersion = version;
    }

    void priority(PriorityClass value) {
        priority = value;
    }

    void rateAdmitted(long nowMillis) {
        rateAdmittedAfterMillis = nowMillis - caller.receivedMillis();
    }

    void opened(long nowMillis) {
        openedAfterMillis = nowMillis - caller.receivedMillis();
    }

    /** Records when the current attempt was written to a connection. */
    void written(Writing each) {
        writing = each;
    }

    /** Records that the current attempt is evidence that requests with a fingerprint crash endpoints. */
    void suspected(RequestFingerprint fingerprint) {
        suspect = fingerprint;
    }

    /** Records the end of the current attempt. */
    void attempt(
            EndpointRecord endpoint, String outcome, ResponseSummary response, long beganMillis, long endedMillis) {
        attempts.add(new Attempt(endpoint, outcome, response, beganMillis, endedMillis, writing, suspect));
        writing = Writing.NONE;
        suspect = null;
    }

    /** Returns the log line as JSON; {@code wallMillis} is the wall-clock time at which the request ended. */
    String line(String outcome, int status, long tokens, long nowMillis, long wallMillis) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            json.writeStringField("event", "request");
            json.writeNumberField("at", wallMillis);
            json.writeStringField("request", caller.attempt());
            if (caller.programContext() != null) {
                json.writeStringField("program", caller.programContext().program());
                json.writeStringField("session", caller.programContext().session());
            }
            if (!caller.previousTurn().isEmpty()) {
                json.writeStringField("previous", caller.previousTurn());
            }
            if (caller.lastEventId() >= 0) {
                json.writeNumberField("last_event", caller.lastEventId());
                json.writeStringField("resumes", caller.resumedAttempt());
            }
            if (admitted != null) {
                json.writeStringField("route", admitted.route().name());
                json.writeStringField("organisation", admitted.organisationName());
                json.writeNumberField("site_version", siteVersion);
                if (admitted.affinity() == null) {
                    json.writeBooleanField("affinity_ignored", true);
                }
            }
            if (priority != null) {
                json.writeStringField("priority", priority.name());
            }
            json.writeStringField("outcome", outcome);
            json.writeNumberField("status", status);
            json.writeNumberField("ms", nowMillis - caller.receivedMillis());
            json.writeNumberField("rate_ms", rateAdmittedAfterMillis);
            json.writeNumberField("open_ms", openedAfterMillis);
            json.writeNumberField("tokens", tokens);
            json.writeArrayFieldStart("attempts");
            for (Attempt each : attempts) {
                writeAttempt(json, each);
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("writing to a string cannot fail", e);
        }
        return text.toString();
    }

    private void writeAttempt(JsonGenerator json, Attempt attempt) throws IOException {
        ResponseSummary response = attempt.response;
        json.writeStartObject();
        json.writeStringField("endpoint", attempt.endpoint.id());
        json.writeStringField("version", attempt.endpoint.softwareVersion());
        json.writeStringField("outcome", attempt.outcome);
        if (response.status() != 0) {
            json.writeNumberField("status", response.status());
        }
        if (response.requestLimit().isPresent()) {
            json.writeNumberField("request_limit", response.requestLimit().getAsDouble());
        }
        if (response.part() != null) {
            json.writeNumberField("after", response.part().after());
            json.writeNumberField("first", response.part().first());
            json.writeNumberField("last", response.part().last());
            json.writeNumberField("events", response.part().events());
        }
        json.writeNumberField("at_ms", attempt.beganMillis - caller.receivedMillis());
        json.writeNumberField("ms", attempt.endedMillis - attempt.beganMillis);
        if (attempt.writing != Writing.NONE) {
            json.writeNumberField("written_ms", attempt.writing.millis - caller.receivedMillis());
            json.writeNumberField("handed_ms", attempt.writing.timeLeftMillis);
        }
        if (attempt.suspect != null) {
            json.writeStringField("suspect", attempt.suspect.value());
        }
        json.writeEndObject();
    }
}
