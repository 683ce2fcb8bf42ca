package org.cicadahead.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.cfg.CoercionAction;
import com.fasterxml.jackson.databind.cfg.CoercionInputShape;
import com.fasterxml.jackson.databind.exc.MismatchedInputException;
import com.fasterxml.jackson.databind.exc.ValueInstantiationException;
import com.fasterxml.jackson.databind.type.LogicalType;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Reads settings files. Errors for fields that are unknown, out of range or of the wrong type include the line. */
public final class SettingsReader {
    private static final PropertyNamingStrategies.SnakeCaseStrategy SNAKE_CASE =
            new PropertyNamingStrategies.SnakeCaseStrategy();
    private static final TomlMapper MAPPER = TomlMapper.builder()
            .propertyNamingStrategy(SNAKE_CASE)
            .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
            .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
            .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
            .withCoercionConfig(
                    LogicalType.Textual,
                    config -> config.setCoercion(CoercionInputShape.Integer, CoercionAction.Fail)
                            .setCoercion(CoercionInputShape.Float, CoercionAction.Fail)
                            .setCoercion(CoercionInputShape.Boolean, CoercionAction.Fail))
            .withCoercionConfig(
                    LogicalType.Enum, config -> config.setCoercion(CoercionInputShape.Integer, CoercionAction.Fail))
            .build();

    private SettingsReader() {}

    /**
     * Reads a settings file.
     *
     * @param file the file
     * @return the settings
     * @throws SettingsException if the file cannot be read or is not valid
     */
    public static Settings read(Path file) throws SettingsException {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new SettingsException(file + ": cannot be read", e);
        }
        return parse(file.toString(), text);
    }

    static Settings parse(String file, String text) throws SettingsException {
        try {
            JsonNode root = MAPPER.readTree(text);
            checkFieldNames(file, text, root, Settings.class, List.of());
            return MAPPER.treeToValue(root, Settings.class);
        } catch (JsonMappingException e) {
            throw toSettingsException(file, text, e);
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            throw new SettingsException(file + ":" + line + ": " + e.getOriginalMessage(), e);
        }
    }

    /**
     * Rejects unknown field names. This runs before the values are bound, so that the error names the misspelt field
     * instead of the required field that is missing because of it.
     */
    private static void checkFieldNames(String file, String text, JsonNode section, Class<?> type, List<String> path)
            throws SettingsException {
        Map<String, Class<?>> known = new TreeMap<>();
        for (RecordComponent component : type.getRecordComponents()) {
            known.put(SNAKE_CASE.translate(component.getName()), component.getType());
        }
        for (Map.Entry<String, JsonNode> field : section.properties()) {
            List<String> fieldPath = new ArrayList<>(path);
            fieldPath.add(field.getKey());
            Class<?> fieldType = known.get(field.getKey());
            if (fieldType == null) {
                String expected = "unknown field; expected one of " + String.join(", ", known.keySet());
                throw settingsException(file, text, fieldPath, expected, null);
            }
            if (fieldType.isRecord()) {
                checkFieldNames(file, text, field.getValue(), fieldType, fieldPath);
            }
        }
    }

    private static SettingsException settingsException(
            String file, String text, List<String> path, String expected, Exception cause) {
        int line = new TomlLines(text).lineOf(path);
        return new SettingsException(file + ":" + line + ": " + String.join(".", path) + ": " + expected, cause);
    }

    private static SettingsException toSettingsException(String file, String text, JsonMappingException e) {
        List<String> path = new ArrayList<>();
        e.getPath().stream()
                .map(JsonMappingException.Reference::getFieldName)
                .filter(name -> name != null)
                .forEach(path::add);
        String expected;
        FieldException cause = findFieldException(e);
        if (cause != null) {
            path.addAll(Arrays.asList(cause.field().split("\\.")));
            expected = cause.getMessage();
        } else if (e instanceof MismatchedInputException mismatch) {
            expected = "expected " + describeType(mismatch.getTargetType());
        } else if (e instanceof ValueInstantiationException value) {
            expected = "expected " + describeType(value.getType().getRawClass());
        } else {
            expected = e.getOriginalMessage();
        }
        return settingsException(file, text, path, expected, e);
    }

    private static FieldException findFieldException(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof FieldException field) {
                return field;
            }
        }
        return null;
    }

    private static String describeType(Class<?> type) {
        if (type == null) {
            return "another type";
        }
        if (type.isEnum()) {
            return Arrays.stream(type.getEnumConstants())
                    .map(value -> value.toString().toLowerCase(Locale.ROOT))
                    .collect(Collectors.joining(" or "));
        }
        if (type == Boolean.class) {
            return "true or false";
        }
        if (Number.class.isAssignableFrom(type)) {
            return "a whole number";
        }
        if (type == String.class) {
            return "a text in quotes";
        }
        return Collection.class.isAssignableFrom(type) ? "a list" : "a section";
    }
}
