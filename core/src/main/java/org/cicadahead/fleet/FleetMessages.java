package org.cicadahead.fleet;

import java.util.List;
import org.cicadahead.protocol.MessageCatalog;

/** Adds the messages of this package to a catalogue. */
public final class FleetMessages {

    private FleetMessages() {}

    /**
     * Returns a catalogue with the messages of this package added.
     *
     * @param base the catalogue to add to
     * @return the catalogue
     */
    public static MessageCatalog catalog(MessageCatalog base) {
        return base.with(List.of(
                QuotaShares.class,
                RequestQuota.class,
                CloseTurn.class,
                ConfirmFleet.class,
                FleetUpdate.class,
                FoundStores.class,
                OpenTurn.class,
                ReadDecommission.class,
                ReadSite.class,
                ReadStoreMembers.class,
                ReportCrashes.class,
                DecommissionStore.class,
                DecommissionState.class,
                SiteDocument.class,
                SiteStored.class,
                StoreMembers.class,
                SubmitSite.class,
                TurnOpened.class,
                WatchFleet.class));
    }
}
