package org.cicadahead.ctl;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import org.cicadahead.model.ResourceKind;

/** The paths of the admin API. */
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
        return kind(kind) + "/" + encode(name);
    }

    static String key(String prefix) {
        return KEYS + "/" + encode(prefix);
    }

    static String member(String replica) {
        return MEMBERS + "/" + encode(replica);
    }

    static String drain(String endpoint) {
        return ROOT + "/endpoints/" + encode(endpoint) + "/drain";
    }

    static String program(String organisation, String program) {
        return ROOT + "/programs/" + encode(organisation) + "/" + encode(program);
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
