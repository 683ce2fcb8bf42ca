package org.cicadahead.daemon;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/** Validates settings fields. A failed check throws a {@link FieldException} that states the expected value. */
final class Fields {
    private static final int MAX_PORT = 65_535;

    private Fields() {}

    static <T> T required(T value, String field, String expected) {
        if (value == null) {
            throw new FieldException(field, "expected " + expected + ", but the field is missing");
        }
        return value;
    }

    static <T> T orDefault(T value, T defaultValue) {
        return value == null ? defaultValue : value;
    }

    static long inRange(long value, long min, long max, String field) {
        if (value < min || value > max) {
            throw new FieldException(field, "expected a number from " + min + " to " + max + ", got " + value);
        }
        return value;
    }

    static <T> T parsed(String text, String field, String expected, Function<String, T> parser) {
        String requiredText = required(text, field, expected);
        try {
            return parser.apply(requiredText);
        } catch (IllegalArgumentException e) {
            throw new FieldException(field, "expected " + expected + ", got \"" + requiredText + "\"");
        }
    }

    static InetSocketAddress address(String text, String field) {
        return parsed(text, field, "host:port", Fields::parseAddress);
    }

    static List<InetSocketAddress> addresses(List<String> texts, String field) {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (String text : texts) {
            addresses.add(address(text, field));
        }
        return List.copyOf(addresses);
    }

    static URI httpUri(String text, String field) {
        URI uri = parsed(text, field, "an http URL", URI::create);
        if (!"http".equals(uri.getScheme()) || uri.getHost() == null || uri.getUserInfo() != null) {
            throw new FieldException(field, "expected an http URL without user info, got \"" + uri.getScheme() + "\"");
        }
        return uri;
    }

    private static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("The host or the port is missing");
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("The port is out of range: " + port);
        }
        return new InetSocketAddress(text.substring(0, colon), port);
    }
}
