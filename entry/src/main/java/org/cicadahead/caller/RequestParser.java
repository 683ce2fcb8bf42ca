package org.cicadahead.caller;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.cicadahead.model.IdempotencyKey;
import org.cicadahead.model.KeyDigest;
import org.cicadahead.model.KeyDigests;
import org.cicadahead.model.ProgramId;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.model.RequestId;
import org.cicadahead.model.RouteName;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpURI;

/**
 * Parses the request line and the headers of a request. The caller's key is replaced by its digest and never passed on.
 */
final class RequestParser {
    private static final String CHAT_PATH = "/v1/chat/completions";
    private static final String SERVICES_PATH = "/v1/services/";
    private static final String PROGRAMS_PATH = "/v1/programs/";
    private static final Set<String> SERVICE_METHODS = Set.of("GET", "POST", "PUT", "DELETE");
    /** The headers that are forwarded to endpoints; all others are dropped. */
    private static final Set<String> FORWARDED_HEADERS = Set.of("content-type", "accept", "accept-language");
    /** The headers in which a key is accepted. */
    private static final List<String> KEY_HEADERS = List.of("authorization", "x-api-key", "api-key");

    private static final Pattern KEY_LIKE = Pattern.compile("ck_[A-Za-z0-9_-]{20,}");
    private static final Pattern KEY_PARAMETER = Pattern.compile(
            "(^|[&;?])(api[_-]?key|x-api-key|key|access[_-]?token|token|authorization)=", Pattern.CASE_INSENSITIVE);

    /**
     * Matches dot segments, plain or percent-encoded. They are rejected because an endpoint may resolve them to a
     * different path.
     */
    private static final Pattern DOT_SEGMENT = Pattern.compile("(^|/)(\\.|%2e){1,2}(/|;|$)", Pattern.CASE_INSENSITIVE);

    private final String method;
    private final HttpURI uri;
    private final HttpFields headerFields;

    RequestParser(String method, HttpURI uri, HttpFields headerFields) {
        this.method = method;
        this.uri = uri;
        this.headerFields = headerFields;
    }

    CallerRequest parse(RequestId id, byte[] body) throws RefusalException {
        rejectKeyInUri();
        String path = uri.getPath() == null ? "" : uri.getPath();
        if (DOT_SEGMENT.matcher(path).find()) {
            throw new RefusalException(RefusalReason.REQUEST_MALFORMED, "The path must not have dot segments");
        }
        CallerRequest.Kind kind = parseKind(path);
        RouteName route = null;
        String servicePath = null;
        ProgramId target = null;
        if (kind == CallerRequest.Kind.SERVICE) {
            String routeAndPath = path.substring(SERVICES_PATH.length());
            int slash = routeAndPath.indexOf('/');
            route = parseValue("route", slash < 0 ? routeAndPath : routeAndPath.substring(0, slash), RouteName::of);
            String query = uri.getQuery() == null ? "" : "?" + uri.getQuery();
            servicePath = (slash < 0 ? "/" : routeAndPath.substring(slash)) + query;
        } else if (kind != CallerRequest.Kind.CHAT) {
            target = parseValue("program", path.substring(PROGRAMS_PATH.length()), ProgramId::of);
        }
        ProgramId program = parseHeader("Cicadahead-Program", ProgramId::of);
        ProgramId parent = parseHeader("Cicadahead-Parent", ProgramId::of);
        Integer step = parseHeader("Cicadahead-Step", RequestParser::parseStep);
        Boolean end = parseHeader("Cicadahead-End", RequestParser::parseBoolean);
        if ((program == null) != (step == null)) {
            throw invalidHeader("Cicadahead-Program and Cicadahead-Step go together");
        }
        if (program == null && (parent != null || end != null)) {
            throw invalidHeader("Cicadahead-Parent and Cicadahead-End need Cicadahead-Program");
        }
        return new CallerRequest(
                id,
                kind,
                parseKey(),
                method,
                route,
                servicePath,
                target,
                program,
                parent,
                step == null ? 0 : step,
                end != null && end,
                parseHeader("Idempotency-Key", IdempotencyKey::of),
                forwardedHeaders(),
                body);
    }

    private CallerRequest.Kind parseKind(String path) throws RefusalException {
        if (path.equals(CHAT_PATH) && method.equals("POST")) {
            return CallerRequest.Kind.CHAT;
        }
        if (path.startsWith(SERVICES_PATH) && SERVICE_METHODS.contains(method)) {
            return CallerRequest.Kind.SERVICE;
        }
        if (path.startsWith(PROGRAMS_PATH) && method.equals("GET")) {
            return CallerRequest.Kind.READ_PROGRAM;
        }
        if (path.startsWith(PROGRAMS_PATH) && method.equals("DELETE")) {
            return CallerRequest.Kind.END_PROGRAM;
        }
        throw new RefusalException(RefusalReason.ROUTE_UNKNOWN, "There is nothing at this path with this method");
    }

    private void rejectKeyInUri() throws RefusalException {
        String text = percentDecoded(uri.getPathQuery());
        String query = percentDecoded(uri.getQuery());
        if (uri.getUser() != null
                || KEY_LIKE.matcher(text).find()
                || KEY_PARAMETER.matcher(query).find()) {
            throw new RefusalException(RefusalReason.KEY_IN_URL, "Send the key in the Authorization header");
        }
    }

    private static String percentDecoded(String text) throws RefusalException {
        try {
            return text == null ? "" : URLDecoder.decode(text, StandardCharsets.ISO_8859_1);
        } catch (IllegalArgumentException e) {
            throw new RefusalException(RefusalReason.REQUEST_MALFORMED, "The path is not encoded correctly");
        }
    }

    /**
     * Returns the digest of the key, or null if there is none. Different keys in one request are refused, as the
     * organisation would be ambiguous.
     */
    private KeyDigest parseKey() throws RefusalException {
        KeyDigest keyDigest = null;
        for (HttpField field : headerFields) {
            String name = field.getLowerCaseName();
            if (!KEY_HEADERS.contains(name) || field.getValue() == null) {
                continue;
            }
            KeyDigest digest = KeyDigests.of(withoutScheme(field.getValue().trim()));
            if (keyDigest != null && !keyDigest.equals(digest)) {
                throw new RefusalException(RefusalReason.KEY_INVALID, "The request carries several keys");
            }
            keyDigest = digest;
        }
        return keyDigest;
    }

    private static String withoutScheme(String value) {
        String scheme = "bearer ";
        return value.toLowerCase(Locale.ROOT).startsWith(scheme)
                ? value.substring(scheme.length()).trim()
                : value;
    }

    private Map<String, String> forwardedHeaders() throws RefusalException {
        Map<String, String> forwardedHeaders = new HashMap<>();
        for (HttpField field : headerFields) {
            String name = field.getLowerCaseName();
            if (FORWARDED_HEADERS.contains(name) && field.getValue() != null) {
                if (KEY_LIKE.matcher(field.getValue()).find()) {
                    throw invalidHeader("A key belongs in the Authorization header only");
                }
                forwardedHeaders.putIfAbsent(name, field.getValue());
            }
        }
        return forwardedHeaders;
    }

    private <T> T parseHeader(String name, Function<String, T> parser) throws RefusalException {
        List<String> values = headerFields.getValuesList(name);
        if (values.isEmpty()) {
            return null;
        }
        if (values.size() > 1) {
            throw invalidHeader(name + " occurs several times");
        }
        return parseValue(name, values.get(0), parser);
    }

    private static <T> T parseValue(String name, String text, Function<String, T> parser) throws RefusalException {
        if (KEY_LIKE.matcher(text).find()) {
            throw invalidHeader(name + " must not hold a key");
        }
        try {
            return parser.apply(text);
        } catch (IllegalArgumentException e) {
            throw invalidHeader(name + " is not valid");
        }
    }

    private static int parseStep(String text) {
        int step = Integer.parseInt(text);
        if (step < 1) {
            throw new IllegalArgumentException("The step must be at least 1: " + step);
        }
        return step;
    }

    private static boolean parseBoolean(String text) {
        if (!text.equals("true") && !text.equals("false")) {
            throw new IllegalArgumentException("The value must be true or false: " + text);
        }
        return text.equals("true");
    }

    private static RefusalException invalidHeader(String detail) {
        return new RefusalException(RefusalReason.HEADER_INVALID, detail);
    }
}
