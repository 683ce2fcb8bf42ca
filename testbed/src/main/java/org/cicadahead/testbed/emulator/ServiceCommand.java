package org.cicadahead.testbed.emulator;

import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The subcommand {@code service}: runs an emulated service until it is ended. */
@Command(name = "service", description = "Runs an emulated service.", mixinStandardHelpOptions = true)
public final class ServiceCommand implements Callable<Integer> {
    @Option(names = "--listen", required = true, description = "Host and port on the loopback address.")
    private String listen;

    @Option(names = "--delay-millis", defaultValue = "0", description = "How long a call takes.")
    private long delayMillis;

    @Override
    public Integer call() throws Exception {
        try (ServiceEmulator service =
                ServiceEmulator.start(EngineCommand.port(listen), new ServiceOptions(delayMillis))) {
            EngineCommand.announce(service.uri());
            new CountDownLatch(1).await();
        }
        return 0;
    }
}
