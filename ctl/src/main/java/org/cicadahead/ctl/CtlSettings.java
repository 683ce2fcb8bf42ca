package org.cicadahead.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * Where control is and how to authenticate. Options go before the environment, which goes before the file. Immutable.
 *
 * @param admin the base URLs of the admin API, one a replica
 * @param token the bearer token
 */
record CtlSettings(List<URI> admin, String token) {
    /** The environment variable with the admin addresses, separated by commas. */
    static final String ADMIN_VARIABLE = "CICADACTL_ADMIN";
    /** The environment variable with the bearer token. */
    static final String TOKEN_VARIABLE = "CICADACTL_TOKEN";
    /** The environment variable with the settings file. */
    static final String CONFIG_VARIABLE = "CICADACTL_CONFIG";

    private static final TomlMapper MAPPER = TomlMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .build();

    /** A settings file as written. */
    private record File(List<String> admin, String token, String tokenFile) {}

    /**
     * Reads the settings.
     *
     * @param config the settings file, or null
     * @param admin the addresses from the options; empty if there are none
     * @param tokenFile the token file from the options, or null
     * @param environment the environment
     * @return the settings
     * @throws CtlException if a value is missing or not valid
     */
    static CtlSettings read(Path config, List<String> admin, Path tokenFile, Map<String, String> environment)
            throws CtlException {
        String configured = environment.get(CONFIG_VARIABLE);
        Path path = config == null && configured != null ? Path.of(configured) : config;
        File file = path == null ? new File(null, null, null) : readFile(path);
        List<String> addresses = admin;
        if (addresses.isEmpty() && environment.containsKey(ADMIN_VARIABLE)) {
            addresses = Arrays.asList(environment.get(ADMIN_VARIABLE).split(","));
        }
        if (addresses.isEmpty() && file.admin != null) {
            addresses = file.admin;
        }
        if (addresses.isEmpty()) {
            throw CtlException.usage("No admin address: give --admin, " + ADMIN_VARIABLE + " or a settings file", null);
        }
        return new CtlSettings(
                addresses.stream().map(CtlSettings::parse).toList(), token(file, tokenFile, environment));
    }

    private static String token(File file, Path tokenFile, Map<String, String> environment) throws CtlException {
        String token = environment.get(TOKEN_VARIABLE);
        if (tokenFile != null) {
            token = readText(tokenFile).strip();
        } else if (token == null && file.token != null) {
            token = file.token;
        } else if (token == null && file.tokenFile != null) {
            token = readText(Path.of(file.tokenFile)).strip();
        }
        if (token == null || token.isEmpty()) {
            throw CtlException.usage("No token: give --token-file, " + TOKEN_VARIABLE + " or a settings file", null);
        }
        return token;
    }

    private static URI parse(String address) {
        String text = address.strip();
        return URI.create(text.contains("://") ? text : "http://" + text);
    }

    private static File readFile(Path path) throws CtlException {
        try {
            return MAPPER.readValue(readText(path), File.class);
        } catch (JsonProcessingException e) {
            throw CtlException.usage(path + ": " + e.getOriginalMessage(), e);
        }
    }

    private static String readText(Path path) throws CtlException {
        try {
            return Files.readString(path);
        } catch (IOException e) {
            throw CtlException.usage(path + ": cannot be read", e);
        }
    }

    /** Hides the token. */
    @Override
    public String toString() {
        return "CtlSettings[admin=" + admin + "]";
    }
}
