package org.cicadahead.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

/** Tests the line of a request in the decision log, which is all that an on-call engineer has to explain a decision. */
class RequestTraceTest {

    /** Without the stated limit, a request sent over it cannot be told from one to an endpoint that states none. */
    @Test
    void namesTheRequestLimitThatAnEndpointStated() {
        CallerRequest caller = new CallerRequest(
                "a", "GET", "/", "/", "h", List.of(), new byte[0], null, -1, null, "", List.of(), List.of(), 0, -1, 0);
        RequestTrace trace = new RequestTrace(caller);
        trace.attempt("e1", "rejected", OptionalDouble.of(6.5), 1, 3);
        trace.attempt("e2", "ok", OptionalDouble.empty(), 4, 9);
        assertThat(trace.line("answered", 200, 0, 9, 0))
                .contains("\"attempts\":["
                        + "{\"endpoint\":\"e1\",\"outcome\":\"rejected\",\"request_limit\":6.5,\"at_ms\":1,\"ms\":2},"
                        + "{\"endpoint\":\"e2\",\"outcome\":\"ok\",\"at_ms\":4,\"ms\":5}]");
    }
}
