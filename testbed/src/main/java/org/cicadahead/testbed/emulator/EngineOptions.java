package org.cicadahead.testbed.emulator;

import java.util.Set;

/**
 * How an emulated engine behaves. Immutable.
 *
 * @param seed seeds the random choices
 * @param models the models that it has loaded
 * @param maxBatch how many requests it runs at once; others wait in order of arrival
 * @param baseStepMicros length of a step with an empty batch, in microseconds
 * @param stepMicrosPerRequest what each running request adds to a step, in microseconds
 * @param stepMicrosPerKiloToken what each 1,000 tokens of context in the batch add to a step, in microseconds
 * @param prefillTokensPerSecond how many prompt tokens are processed in a second
 * @param prefillChunkTokens how many prompt tokens are processed in one step
 * @param cacheCapacityTokens the tokens that the prefix cache holds
 * @param reportLagMillis how old load reports and cache events may be, in milliseconds
 * @param orphanMillis how long a stream without a reader goes on, in milliseconds
 * @param loadModelMillis how long the weight store takes for one model, one at a time, in milliseconds
 * @param exitOnCrash whether a crash ends the process instead of restarting the engine in place
 */
public record EngineOptions(
        long seed,
        Set<String> models,
        int maxBatch,
        long baseStepMicros,
        long stepMicrosPerRequest,
        long stepMicrosPerKiloToken,
        long prefillTokensPerSecond,
        int prefillChunkTokens,
        long cacheCapacityTokens,
        long reportLagMillis,
        long orphanMillis,
        long loadModelMillis,
        boolean exitOnCrash) {

    /** Copies the set. */
    public EngineOptions {
        models = Set.copyOf(models);
    }

    /**
     * Returns the behaviour of a middling engine: 32 requests with short contexts give a token interval of 19 ms.
     *
     * @param seed seeds the random choices
     * @return the options
     */
    public static EngineOptions ofSeed(long seed) {
        return new EngineOptions(
                seed, Set.of("model"), 64, 6_000, 400, 20, 40_000, 256, 400_000, 1_000, 5_000, 200, false);
    }

    /**
     * Returns a fast engine for tests: a token takes about 1 ms and reports are current.
     *
     * @param seed seeds the random choices
     * @return the options
     */
    public static EngineOptions fast(long seed) {
        return new EngineOptions(
                seed, Set.of("model"), 64, 1_000, 10, 0, 10_000_000, 65_536, 400_000, 0, 2_000, 1, false);
    }

    /**
     * Returns these options with another cache size.
     *
     * @param tokens the tokens that the prefix cache holds
     * @return the options
     */
    public EngineOptions withCacheCapacity(long tokens) {
        return new EngineOptions(
                seed,
                models,
                maxBatch,
                baseStepMicros,
                stepMicrosPerRequest,
                stepMicrosPerKiloToken,
                prefillTokensPerSecond,
                prefillChunkTokens,
                tokens,
                reportLagMillis,
                orphanMillis,
                loadModelMillis,
                exitOnCrash);
    }

    /**
     * Returns these options with other step times.
     *
     * @param baseMicros length of a step with an empty batch, in microseconds
     * @param microsPerRequest what each running request adds, in microseconds
     * @return the options
     */
    public EngineOptions withStep(long baseMicros, long microsPerRequest) {
        return new EngineOptions(
                seed,
                models,
                maxBatch,
                baseMicros,
                microsPerRequest,
                stepMicrosPerKiloToken,
                prefillTokensPerSecond,
                prefillChunkTokens,
                cacheCapacityTokens,
                reportLagMillis,
                orphanMillis,
                loadModelMillis,
                exitOnCrash);
    }
}
