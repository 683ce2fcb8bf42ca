package org.cicadahead.testbed.emulator;

import java.net.URI;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The subcommand {@code engine}: runs an emulated engine until it is ended or crashes. */
@Command(name = "engine", description = "Runs an emulated engine.", mixinStandardHelpOptions = true)
public final class EngineCommand implements Callable<Integer> {
    @Option(names = "--listen", required = true, description = "Host and port on the loopback address.")
    private String listen;

    @Option(names = "--seed", defaultValue = "1", description = "Seeds the random choices.")
    private long seed;

    @Option(names = "--model", description = "A model that is loaded; may be repeated.")
    private List<String> models = List.of("model");

    @Option(names = "--cache-tokens", defaultValue = "400000", description = "Tokens that the prefix cache holds.")
    private long cacheTokens;

    @Option(names = "--max-batch", defaultValue = "64", description = "Requests that run at once.")
    private int maxBatch;

    @Option(names = "--step-micros", defaultValue = "6000", description = "Length of a step with an empty batch.")
    private long stepMicros;

    @Option(names = "--step-micros-per-request", defaultValue = "400", description = "What each request adds to it.")
    private long stepMicrosPerRequest;

    @Option(names = "--lag-millis", defaultValue = "1000", description = "Greatest age of reports.")
    private long lagMillis;

    @Option(names = "--fault", description = "A fault switch as name=value; may be repeated.")
    private List<String> faults = List.of();

    @Override
    public Integer call() throws Exception {
        EngineOptions base = EngineOptions.ofSeed(seed);
        EngineOptions options = new EngineOptions(
                seed,
                Set.copyOf(models),
                maxBatch,
                stepMicros,
                stepMicrosPerRequest,
                base.stepMicrosPerKiloToken(),
                base.prefillTokensPerSecond(),
                base.prefillChunkTokens(),
                cacheTokens,
                lagMillis,
                base.orphanMillis(),
                base.loadModelMillis(),
                true);
        try (EngineEmulator engine = EngineEmulator.start(port(listen), options)) {
            for (String fault : faults) {
                String[] parts = fault.split("=", 2);
                engine.faults().set(engine.faults().named(parts[0]), parts.length > 1 ? parts[1] : "1");
            }
            announce(engine.uri());
            new CountDownLatch(1).await();
        }
        return 0;
    }

    /** Returns the port of a {@code host:port} text. */
    static int port(String listen) {
        return Integer.parseInt(listen.substring(listen.lastIndexOf(':') + 1));
    }

    /** Tells the process that started this one that it can be used. */
    static void announce(URI uri) {
        System.out.println("ready " + uri);
        System.out.flush();
    }
}
