package org.cicadahead.ctl;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import org.cicadahead.model.ResourceKind;

/** The URL paths of the admin API. Names are percent-encoded. */
final class Paths {
    static final String ROOT = "/admin/v1";
    static final String KEYS = ROOT + "/keys";
    static final String STATUS = ROOT + "/status";
    static final String MEMBERS = ROOT + "/members";

    private Paths() {}

    static String kind(ResourceKind kind) {
        return ROOT + "/" + kind.plural();
    }

    static String resource(ResourceKind kind, String name) {
        return kind(kind) + "/" + encodeSegment(name);
    }

    static String key(String prefix) {
        return KEYS + "/" + encodeSegment(prefix);
    }

    static String member(String replica) {
        return MEMBERS + "/" + encodeSegment(replica);
    }

    static String drain(String endpoint) {
        return ROOT + "/endpoints/" + encodeSegment(endpoint) + "/drain";
    }

    static String program(String organisation, String program) {
        return ROOT + "/programs/" + encodeSegment(organisation) + "/" + encodeSegment(program);
    }

    private static String encodeSegment(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
