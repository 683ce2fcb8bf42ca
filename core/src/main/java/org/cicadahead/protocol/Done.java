package org.cicadahead.protocol;

/**
 * Answers a command that has no further result.
 *
 * @param accepted whether the command took effect, now or at an earlier attempt
 * @param detail why it was refused, for logs
 */
public record Done(boolean accepted, String detail) implements Message {

    /**
     * Returns the answer to an accepted command.
     *
     * @return the answer
     */
    public static Done ok() {
        return new Done(true, "");
    }

    /**
     * Returns the answer to a refused command.
     *
     * @param detail why it was refused
     * @return the answer
     */
    public static Done refused(String detail) {
        return new Done(false, detail);
    }
}
