package org.cicadahead.testbed.emulator;

/** Counts over all instances of an emulated engine. Guarded by the lock of the current instance. */
final class EngineTotals {
    long received;
    long completed;
    long cancelled;
    long promptTokens;
    long cachedTokens;
    long completionTokens;
    long orders;
    long staleOrders;
}
