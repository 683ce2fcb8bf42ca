package org.cicadahead.daemon;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.cicadahead.model.EndpointKind;
import org.cicadahead.model.Role;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsReaderTest {
    private static final String VALID = """
            [daemon]
            id = "endpoint-1"
            roles = ["endpoint"]
            zone = "a"
            control = ["127.0.0.1:7101"]
            workers = 4

            [health]
            listen = "127.0.0.1:7201"

            [endpoint]
            id = "engine-1"
            kind = "engine"
            pools = ["planning"]
            models = ["small"]
            target = "http://127.0.0.1:9001"
            listen = "127.0.0.1:7301"
            capacity = 8
            engine_checks_fences = true
            """;

    /** Guards against a field that is read under a name other than the documented one. */
    @Test
    void readsEveryField() throws SettingsException {
        Settings settings = SettingsReader.parse("s.toml", VALID);

        assertThat(settings.daemon().roles()).containsExactly(Role.ENDPOINT);
        assertThat(settings.daemon().workers()).isEqualTo(4);
        assertThat(settings.endpoint().kind()).isEqualTo(EndpointKind.ENGINE);
        assertThat(settings.endpoint().pools()).isEqualTo(List.of("planning"));
        assertThat(settings.endpoint().engineChecksFences()).isTrue();
        assertThat(settings.endpoint().address()).isEqualTo("127.0.0.1:7301");
    }

    /** Guards against an invalid field that is ignored or is reported without its line and the expected value. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
                    workers = 4 | workers = "4" | s.toml:6: daemon.workers: expected a whole number
                    workers = 4 | workers = 0 | s.toml:6: daemon.workers: expected a number from 1 to 1024, got 0
                    workers = 4 | workers = 1.5 | s.toml:6: daemon.workers: expected a whole number
                    workers = 4 | threads = 4 | s.toml:6: daemon.threads: unknown field; expected one of
                    zone = "a" | zome = "a" | s.toml:4: daemon.zome: unknown field; expected one of
                    zone = "a" | zone = 7 | s.toml:4: daemon.zone: expected a text in quotes
                    zone = "a" | zone = "a b" | s.toml:4: daemon.zone: expected an availability zone name
                    "endpoint" | "router" | s.toml:3: daemon.roles: expected control or entry or endpoint
                    "endpoint" | "endpoint", "entry" | s.toml:1: entry: expected a section [entry] for the role
                    kind = "engine" | kind = "oven" | s.toml:13: endpoint.kind: expected engine or service
                    capacity = 8 | # none | s.toml:11: endpoint.capacity: expected a number, but the field is missing
                    :7301 | :99999 | s.toml:17: endpoint.listen: expected host:port, got
                    fences = true | fences = "yes" | s.toml:19: endpoint.engine_checks_fences: expected true or false
                    id = "engine-1" | id = engine-1 | s.toml:12:
                    """)
    void refusesWrongField(String valid, String invalid, String message) {
        SettingsException exception = assertThrows(
                SettingsException.class, () -> SettingsReader.parse("s.toml", VALID.replace(valid, invalid)));

        assertThat(exception).hasMessageThat().startsWith(message);
    }
}
