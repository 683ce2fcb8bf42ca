package org.cicadahead.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cicadahead.grants.Rate;
import org.cicadahead.model.Organisation;
import org.cicadahead.model.OrganisationId;
import org.cicadahead.model.ResourceKind;
import org.cicadahead.protocol.ResourceChange;
import org.cicadahead.state.ConfigurationTable;
import org.cicadahead.wire.Codec;
import org.jboss.logging.Logger;

/** Cache of the rates of organisations, which are decoded once for each revision of the configuration. Thread-safe. */
final class OrganisationRates {
    private static final Logger LOG = Logger.getLogger("cicadahead.control");

    private final ControlStateMachine machine;
    private Map<OrganisationId, Rate> rates = Map.of();
    private long revision = -1;

    OrganisationRates(ControlStateMachine machine) {
        this.machine = machine;
    }

    /** Returns the rates at the current revision. */
    synchronized Map<OrganisationId, Rate> current() {
        machine.read(state -> {
            if (state.configuration().revision() != revision) {
                rates = decode(state.configuration());
                revision = state.configuration().revision();
            }
            return null;
        });
        return rates;
    }

    private static Map<OrganisationId, Rate> decode(ConfigurationTable configuration) {
        Map<OrganisationId, Rate> decoded = new HashMap<>();
        for (ResourceChange change : configuration.list(ResourceKind.ORGANISATION)) {
            rate(change).ifPresent(r -> decoded.put(OrganisationId.of(change.name()), r));
        }
        return decoded;
    }

    private static Optional<Rate> rate(ResourceChange change) {
        try {
            return Optional.of(Rate.of(Codec.json().treeToValue(change.body(), Organisation.class)));
        } catch (JsonProcessingException | IllegalArgumentException e) {
            LOG.errorf(e, "control: Cannot decode the organisation %s", change.name());
            return Optional.empty();
        }
    }
}
