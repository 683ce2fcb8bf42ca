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

/** Reads the request line and the headers of a caller, and keeps the key out of everything that goes further. */
final class RequestParser {
    private static final String CHAT_PATH = "/v1/chat/completions";
    private static final String SERVICES_PATH = "/v1/services/";
    private static final String PROGRAMS_PATH = "/v1/programs/";
    private static final Set<String> SERVICE_METHODS = Set.of("GET", "POST", "PUT", "DELETE");
    /** Only these headers reach an endpoint. */
    private static final Set<String> FORWARDED = Set.of("content-type", "accept", "accept-language");
    /** The headers in which callers send keys. */
    private static final List<String> KEY_HEADERS = List.of("authorization", "x-api-key", "api-key");

    private static final Pattern KEY_LIKE = Pattern.compile("ck_[A-Za-z0-9_-]{20,}");
    private static final Pattern KEY_PARAMETER = Pattern.compile(
            "(^|[&;?])(api[_-]?key|x-api-key|key|access[_-]?token|token|authorization)=", Pattern.CASE_INSENSITIVE);

    /** Endpoints may resolve such segments differently, so that a path would mean something else there. */
    private static final Pattern DOT_SEGMENT = Pattern.compile("(^|/)(\\.|%2e){1,2}(/|;|$)", Pattern.CASE_INSENSITIVE);

    private final String method;
    private final HttpURI uri;
    private final HttpFields fields;

    RequestParser(String method, HttpURI uri, HttpFields fields) {
        this.method = method;
        this.uri = uri;
        this.fields = fields;
    }

    CallerRequest parse(RequestId id, byte[] body) throws RefusalException {
        refuseKeyInUri();
        String path = uri.getPath() == null ? "" : uri.getPath();
        if (DOT_SEGMENT.matcher(path).find()) {
            throw new RefusalException(RefusalReason.REQUEST_MALFORMED, "The path must not have dot segments");
        }
        CallerRequest.Kind kind = kind(path);
        RouteName route = null;
        String servicePath = null;
        ProgramId target = null;
        if (kind == CallerRequest.Kind.SERVICE) {
            String rest = path.substring(SERVICES_PATH.length());
            int slash = rest.indexOf('/');
            route = value("route", slash < 0 ? rest : rest.substring(0, slash), RouteName::of);
            String query = uri.getQuery() == null ? "" : "?" + uri.getQuery();
            servicePath = (slash < 0 ? "/" : rest.substring(slash)) + query;
        } else if (kind != CallerRequest.Kind.CHAT) {
            target = value("program", path.substring(PROGRAMS_PATH.length()), ProgramId::of);
        }
        ProgramId program = header("Cicadahead-Program", ProgramId::of);
        ProgramId parent = header("Cicadahead-Parent", ProgramId::of);
        Integer step = header("Cicadahead-Step", RequestParser::step);
        Boolean end = header("Cicadahead-End", RequestParser::flag);
        if ((program == null) != (step == null)) {
            throw invalid("Cicadahead-Program and Cicadahead-Step go together");
        }
        if (program == null && (parent != null || end != null)) {
            throw invalid("Cicadahead-Parent and Cicadahead-End need Cicadahead-Program");
        }
        return new CallerRequest(
                id,
                kind,
                key(),
                method,
                route,
                servicePath,
                target,
                program,
                parent,
                step == null ? 0 : step,
                end != null && end,
                header("Idempotency-Key", IdempotencyKey::of),
                forwarded(),
                body);
    }

    private CallerRequest.Kind kind(String path) throws RefusalException {
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

    private void refuseKeyInUri() throws RefusalException {
        String text = decoded(uri.getPathQuery());
        String query = decoded(uri.getQuery());
        if (uri.getUser() != null
                || KEY_LIKE.matcher(text).find()
                || KEY_PARAMETER.matcher(query).find()) {
            throw new RefusalException(RefusalReason.KEY_IN_URL, "Send the key in the Authorization header");
        }
    }

    private static String decoded(String text) throws RefusalException {
        try {
            return text == null ? "" : URLDecoder.decode(text, StandardCharsets.ISO_8859_1);
        } catch (IllegalArgumentException e) {
            throw new RefusalException(RefusalReason.REQUEST_MALFORMED, "The path is not encoded correctly");
        }
    }

    /** Several keys that differ are refused, as it would not be clear for whom the request runs. */
    private KeyDigest key() throws RefusalException {
        KeyDigest found = null;
        for (HttpField field : fields) {
            String name = field.getLowerCaseName();
            if (!KEY_HEADERS.contains(name) || field.getValue() == null) {
                continue;
            }
            KeyDigest digest = KeyDigests.of(withoutScheme(field.getValue().trim()));
            if (found != null && !found.equals(digest)) {
                throw new RefusalException(RefusalReason.KEY_INVALID, "The request carries several keys");
            }
            found = digest;
        }
        return found;
    }

    private static String withoutScheme(String value) {
        String scheme = "bearer ";
        return value.toLowerCase(Locale.ROOT).startsWith(scheme)
                ? value.substring(scheme.length()).trim()
                : value;
    }

    private Map<String, String> forwarded() throws RefusalException {
        Map<String, String> forwarded = new HashMap<>();
        for (HttpField field : fields) {
            String name = field.getLowerCaseName();
            if (FORWARDED.contains(name) && field.getValue() != null) {
                if (KEY_LIKE.matcher(field.getValue()).find()) {
                    throw invalid("A key belongs in the Authorization header only");
                }
                forwarded.putIfAbsent(name, field.getValue());
            }
        }
        return forwarded;
    }

    private <T> T header(String name, Function<String, T> parser) throws RefusalException {
        List<String> values = fields.getValuesList(name);
        if (values.isEmpty()) {
            return null;
        }
        if (values.size() > 1) {
            throw invalid(name + " occurs several times");
        }
        return value(name, values.get(0), parser);
    }

    private static <T> T value(String name, String text, Function<String, T> parser) throws RefusalException {
        if (KEY_LIKE.matcher(text).find()) {
            throw invalid(name + " must not hold a key");
        }
        try {
            return parser.apply(text);
        } catch (IllegalArgumentException e) {
            throw invalid(name + " is not valid");
        }
    }

    private static int step(String text) {
        int step = Integer.parseInt(text);
        if (step < 1) {
            throw new IllegalArgumentException("The step must be at least 1: " + step);
        }
        return step;
    }

    private static boolean flag(String text) {
        if (!text.equals("true") && !text.equals("false")) {
            throw new IllegalArgumentException("The value must be true or false: " + text);
        }
        return text.equals("true");
    }

    private static RefusalException invalid(String detail) {
        return new RefusalException(RefusalReason.HEADER_INVALID, detail);
    }
}
