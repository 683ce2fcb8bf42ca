package org.cicadahead.testbed;

import java.nio.file.Path;
import org.cicadahead.testbed.fleet.Fleet;
import org.cicadahead.testbed.fleet.FleetException;

/** The routes, pools and organisations that the test bed applies. */
public final class ExampleResources {
    /** The organisation that calls. */
    public static final String ORGANISATION = "acme";
    /** The route to the emulated engines. */
    public static final String MODEL_ROUTE = "assistant";
    /** The route to the emulated services, whose calls may not be repeated. */
    public static final String SERVICE_ROUTE = "booking";

    private ExampleResources() {}

    /**
     * Applies the resources with {@code cicadactl}.
     *
     * @param fleet the fleet
     * @param ratePerSecond the rate of the organisation
     * @param burst its burst
     * @return the output of {@code cicadactl}
     * @throws FleetException if they are refused
     */
    public static String apply(Fleet fleet, double ratePerSecond, long burst) throws FleetException {
        String text = """
                [[organisations]]
                name = "%s"
                rate_per_second = %s
                burst = %d

                [[pools]]
                name = "%s"

                [[pools]]
                name = "%s"
                target = "SERVICE"

                [[routes]]
                name = "%s"
                pool = "%s"
                model = "%s"
                organisations = ["%s"]
                repeatable = true

                [[routes]]
                name = "%s"
                pool = "%s"
                target = "SERVICE"
                organisations = ["%s"]
                repeatable = false
                """.formatted(
                        ORGANISATION,
                        ratePerSecond,
                        burst,
                        Fleet.ENGINE_POOL,
                        Fleet.SERVICE_POOL,
                        MODEL_ROUTE,
                        Fleet.ENGINE_POOL,
                        Fleet.MODEL,
                        ORGANISATION,
                        SERVICE_ROUTE,
                        Fleet.SERVICE_POOL,
                        ORGANISATION);
        Path file = fleet.write("resources.toml", text);
        return fleet.ctl("apply", "-f", file.toString())
                .orThrow("cicadactl apply")
                .output();
    }

    /**
     * Issues a key of the organisation.
     *
     * @param fleet the fleet
     * @return the key
     * @throws FleetException if it is refused
     */
    public static String issueKey(Fleet fleet) throws FleetException {
        String output = fleet.ctl("keys", "create", ORGANISATION, "-o", "json")
                .orThrow("cicadactl keys create")
                .output();
        int start = output.indexOf("ck_");
        int end = start < 0 ? -1 : output.indexOf('"', start);
        if (end < 0) {
            throw new FleetException("cicadactl keys create printed no key", null);
        }
        return output.substring(start, end);
    }
}
