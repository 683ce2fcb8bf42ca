package org.cicadahead.daemon;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import java.io.IOException;
import java.lang.reflect.Field;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cicadahead.model.RefusalReason;
import org.junit.jupiter.api.Test;

/** Checks that the operator documentation matches the code. */
class OperatingPagesTest {
    private static final Path PAGES = Path.of("..", "docs", "operate");
    private static final Pattern REASON = Pattern.compile("`([a-z_]+)`");

    /** Guards against undocumented settings fields and against documented fields that the daemon rejects. */
    @Test
    void settingsPageListsEveryField() throws IOException {
        Map<String, String> expected = new TreeMap<>();
        collect("", Settings.class, expected);
        Map<String, String> listed = new TreeMap<>();
        for (List<String> row : rows("settings.md", "| Field ")) {
            assertWithMessage("columns of %s", row).that(row).hasSize(5);
            assertWithMessage("unit and default of %s", row)
                    .that(row.subList(2, 4))
                    .doesNotContain("");
            listed.put(row.get(0).replace("`", ""), row.get(1));
        }

        assertThat(listed).isEqualTo(expected);
    }

    /** Guards against undocumented refusal reasons and against a documented status that differs from the code. */
    @Test
    void reasonsPageListsEveryRefusal() throws IOException {
        List<String> expected = new ArrayList<>();
        for (RefusalReason reason : RefusalReason.values()) {
            String code = reason.code();
            expected.add("`%s` %d %b %d `refusals_%s`"
                    .formatted(code, reason.status(), reason.notRun(), reason.retryAfterSeconds(), code));
        }
        List<String> listed = new ArrayList<>();
        for (List<String> row : rows("reasons.md", "| Reason | Status | not_run | Retry-After ")) {
            assertWithMessage("what to do about %s", row).that(row.get(6)).isNotEmpty();
            listed.add(String.join(" ", row.subList(0, 5)));
        }

        assertThat(listed).containsExactlyElementsIn(expected);
    }

    /** Guards against undocumented retry reasons. */
    @Test
    void reasonsPageListsEveryRetry() throws IOException, ReflectiveOperationException {
        // The set is not public because no code outside the entry package needs it, hence the reflection.
        Field retried = Class.forName("org.cicadahead.entry.RetryPolicy").getDeclaredField("RETRIED");
        retried.setAccessible(true);
        List<String> expected = new ArrayList<>();
        for (Object element : (Collection<?>) retried.get(null)) {
            RefusalReason reason = (RefusalReason) element;
            String code = reason.code();
            expected.add("`%s` %d %b `retries_%s`".formatted(code, reason.status(), reason.notRun(), code));
        }
        List<String> listed = new ArrayList<>();
        for (List<String> row : rows("reasons.md", "| Reason | Status | not_run | Counter ")) {
            assertWithMessage("what to do about %s", row).that(row.get(4)).isNotEmpty();
            listed.add(String.join(" ", row.subList(0, 4)));
        }

        assertThat(listed).containsExactlyElementsIn(expected);
    }

    /** Guards against an alarm on a refusal counter that no longer exists because its reason was renamed. */
    @Test
    void alarmsNameKnownReasons() throws IOException {
        List<String> unknown = new ArrayList<>();
        Matcher names = REASON.matcher(Files.readString(PAGES.resolve("alarms.md")));
        List<String> known = new ArrayList<>();
        for (RefusalReason reason : RefusalReason.values()) {
            known.add("refusals_" + reason.code());
        }
        while (names.find()) {
            if (names.group(1).startsWith("refusals_") && !known.contains(names.group(1))) {
                unknown.add(names.group(1));
            }
        }

        assertThat(unknown).isEmpty();
    }

    private static void collect(String prefix, Class<?> section, Map<String, String> fields) {
        for (RecordComponent component : section.getRecordComponents()) {
            String name = PropertyNamingStrategies.SnakeCaseStrategy.INSTANCE.translate(component.getName());
            if (component.getType().isRecord()) {
                collect(prefix + name + ".", component.getType(), fields);
            } else {
                fields.put(prefix + name, type(component.getType()));
            }
        }
    }

    private static String type(Class<?> type) {
        if (Collection.class.isAssignableFrom(type)) {
            return "list of text";
        }
        if (Number.class.isAssignableFrom(type)) {
            return "number";
        }
        return type == Boolean.class ? "true or false" : "text";
    }

    /** Returns the cells of the rows of all tables whose header line starts with the given text. */
    private static List<List<String>> rows(String page, String header) throws IOException {
        List<List<String>> rows = new ArrayList<>();
        boolean inside = false;
        for (String line : Files.readAllLines(PAGES.resolve(page))) {
            if (inside && line.startsWith("| `")) {
                List<String> cells = new ArrayList<>();
                for (String cell : line.substring(1, line.length() - 1).split("\\|", -1)) {
                    cells.add(cell.strip());
                }
                rows.add(cells);
            } else if (line.startsWith(header)) {
                inside = true;
            } else if (!line.startsWith("|---")) {
                inside = false;
            }
        }
        assertWithMessage("rows of %s", page).that(rows).isNotEmpty();
        return rows;
    }
}
