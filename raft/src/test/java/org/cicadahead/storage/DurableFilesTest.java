package org.cicadahead.storage;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against errors of a full disk that are reported to operators as another failure. */
class DurableFilesTest {

    @ParameterizedTest
    @ValueSource(strings = {"No space left on device", "Disk quota exceeded", "File too large"})
    void errorOfAFullDiskIsClassifiedAsFull(String text) {
        assertThat(DurableFiles.toStorageException("write the log", new IOException(text))
                        .kind())
                .isEqualTo(StorageException.Kind.FULL);
    }

    @ParameterizedTest
    @ValueSource(strings = {"Input/output error", "Read-only file system"})
    void otherErrorIsNotClassifiedAsFull(String text) {
        assertThat(DurableFiles.toStorageException("write the log", new IOException(text))
                        .kind())
                .isEqualTo(StorageException.Kind.FAILED);
    }
}
