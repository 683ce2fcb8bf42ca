package org.cicadahead.testbed.emulator;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The fault switches that are on, with their values. Safe for use by several threads.
 *
 * @param <E> the enum of the switches
 */
public final class FaultSwitches<E extends Enum<E>> {
    private final Class<E> type;
    private final Map<E, String> values = new ConcurrentHashMap<>();

    FaultSwitches(Class<E> type) {
        this.type = type;
    }

    /**
     * Turns a switch on.
     *
     * @param fault the switch
     * @param value its value
     */
    public void set(E fault, String value) {
        values.put(fault, value);
    }

    /**
     * Turns a switch off.
     *
     * @param fault the switch
     */
    public void clear(E fault) {
        values.remove(fault);
    }

    /** Turns all switches off. */
    public void clearAll() {
        values.clear();
    }

    /**
     * Returns whether a switch is on.
     *
     * @param fault the switch
     * @return true if it has a value
     */
    public boolean isOn(E fault) {
        return values.containsKey(fault);
    }

    Optional<String> text(E fault) {
        return Optional.ofNullable(values.get(fault));
    }

    long number(E fault) {
        return Long.parseLong(values.getOrDefault(fault, "0"));
    }

    /** Counts a switch with a number down; returns whether it was above zero. */
    boolean take(E fault) {
        boolean[] taken = new boolean[1];
        values.computeIfPresent(fault, (key, value) -> {
            long left = Long.parseLong(value);
            taken[0] = left > 0;
            return left > 1 ? Long.toString(left - 1) : null;
        });
        return taken[0];
    }

    /** Turns a switch off if it is on and its number is at most {@code reached}; returns whether it did. */
    boolean takeAt(E fault, long reached) {
        boolean[] taken = new boolean[1];
        values.computeIfPresent(fault, (key, value) -> {
            taken[0] = reached >= Long.parseLong(value);
            return taken[0] ? null : value;
        });
        return taken[0];
    }

    E named(String name) {
        return Enum.valueOf(type, name.toUpperCase(Locale.ROOT).replace('-', '_'));
    }

    Map<E, String> all() {
        return Map.copyOf(values);
    }
}
