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
 * The addresses of the admin API and the credentials. Command-line options take precedence over environment variables,
 * which take precedence over the settings file. Immutable.
 *
 * @param admin the base URLs of the admin API, one per control replica
 * @param token the bearer token
 */
record CtlSettings(List<URI> admin, String token) {
    /** The environment variable that holds the admin addresses, separated by commas. */
    static final String ADMIN_VARIABLE = "CICADACTL_ADMIN";
    /** The environment variable that holds the bearer token. */
    static final String TOKEN_VARIABLE = "CICADACTL_TOKEN";
    /** The environment variable that holds the path of the settings file. */
    static final String CONFIG_VARIABLE = "CICADACTL_CONFIG";

    private static final TomlMapper MAPPER = TomlMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .build();

    /** The contents of a settings file. A field that the file omits is null. */
    private record File(List<String> admin, String token, String tokenFile) {}

    /**
     * Resolves the settings from the options, the environment and the settings file.
     *
     * @param config the settings file from the options, or null
     * @param admin the admin addresses from the options; empty if none are given
     * @param tokenFile the token file from the options, or null
     * @param environment the environment variables
     * @return the settings
     * @throws CtlException if a value is missing or a file cannot be read or parsed
     */
    static CtlSettings read(Path config, List<String> admin, Path tokenFile, Map<String, String> environment)
            throws CtlException {
        String environmentPath = environment.get(CONFIG_VARIABLE);
        Path path = config == null && environmentPath != null ? Path.of(environmentPath) : config;
        File file = path == null ? new File(null, null, null) : readFile(path);
        List<String> addresses = admin;
        if (addresses.isEmpty() && environment.containsKey(ADMIN_VARIABLE)) {
            addresses = Arrays.asList(environment.get(ADMIN_VARIABLE).split(","));
        }
        if (addresses.isEmpty() && file.admin != null) {
            addresses = file.admin;
        }
        if (addresses.isEmpty()) {
            throw CtlException.usage(
                    "No admin address: specify --admin, " + ADMIN_VARIABLE + " or a settings file", null);
        }
        return new CtlSettings(
                addresses.stream().map(CtlSettings::parseAddress).toList(), token(file, tokenFile, environment));
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
            throw CtlException.usage("No token: specify --token-file, " + TOKEN_VARIABLE + " or a settings file", null);
        }
        return token;
    }

    private static URI parseAddress(String address) {
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

    /** Omits the token. */
    @Override
    public String toString() {
        return "CtlSettings[admin=" + admin + "]";
    }
}
