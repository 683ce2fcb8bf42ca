package org.cicadahead.model;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.function.Function;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against ids with characters or lengths that would corrupt paths, headers or logs. */
class IdTest {

    static Stream<Arguments> factories() {
        Function<String, Object> organisation = OrganisationId::of;
        Function<String, Object> program = ProgramId::of;
        Function<String, Object> endpoint = EndpointId::of;
        Function<String, Object> key = IdempotencyKey::of;
        Function<String, Object> digest = KeyDigest::of;
        return Stream.of(organisation, program, endpoint, key, digest)
                .flatMap(factory ->
                        Stream.of("", "a b", "a\nb", "é", "x".repeat(200)).map(text -> Arguments.of(factory, text)));
    }

    @ParameterizedTest
    @MethodSource("factories")
    void invalidTextIsRejected(Function<String, Object> factory, String text) {
        IllegalArgumentException failure = assertThrows(IllegalArgumentException.class, () -> factory.apply(text));
        assertThat(failure).hasMessageThat().contains("must match");
        assertThat(failure).hasMessageThat().doesNotContain("\n");
    }

    @ParameterizedTest
    @MethodSource("factories")
    void nullIsRejected(Function<String, Object> factory, String ignored) {
        IllegalArgumentException failure = assertThrows(IllegalArgumentException.class, () -> factory.apply(null));
        assertThat(failure).hasMessageThat().contains("must not be null");
    }
}
