package org.cicadahead.testbed.fleet;

import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Where the built binaries are. Immutable.
 *
 * @param root the root of the working copy
 */
public record Binaries(Path root) {

    /**
     * Returns the binaries of the working copy that this program was built in.
     *
     * @return the binaries
     * @throws FleetException if the program does not run from a working copy, or the binaries are not built
     */
    public static Binaries locate() throws FleetException {
        Path here;
        try {
            here = Path.of(Binaries.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
        } catch (URISyntaxException e) {
            throw new FleetException("cannot tell where the program was built", e);
        }
        for (Path folder = here; folder != null; folder = folder.getParent()) {
            Binaries binaries = new Binaries(folder);
            if (Files.isRegularFile(binaries.daemon()) && Files.isRegularFile(binaries.testbed())) {
                return binaries;
            }
        }
        throw new FleetException("the binaries are not built; run mvn -B -DskipTests package", null);
    }

    /**
     * Returns the jar of the daemon.
     *
     * @return the file
     */
    public Path daemon() {
        return root.resolve("daemon/target/cicadahead.jar");
    }

    /**
     * Returns the jar of the operator command line.
     *
     * @return the file
     */
    public Path ctl() {
        return root.resolve("ctl/target/cicadactl.jar");
    }

    /**
     * Returns the jar of the test bed.
     *
     * @return the file
     */
    public Path testbed() {
        return root.resolve("testbed/target/testbed.jar");
    }
}
