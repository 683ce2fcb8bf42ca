package org.cicadahead.testbed.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * Seeded programs with their start times. Immutable.
 *
 * @param programs the root programs in the order of their start
 * @param lengthMicros the time over which they start
 */
record Workload(List<Spec> programs, long lengthMicros) {
    /** The max_tokens that callers send, as they do not know the length of the answer. */
    static final int MAX_OUTPUT_TOKENS = 1_000;

    private static final int MAX_TURNS = 65;
    private static final int MAX_CONTEXT_TOKENS = 120_000;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double SUB_AGENT_CHANCE = 0.08;
    private static final int MAX_SUB_AGENTS = 3;

    /**
     * A chain of dependent turns.
     *
     * @param name its name
     * @param organisation the number of its organisation
     * @param inheritedTokens the beginning of its context, which it shares with its parent
     * @param startMicros when it starts; 0 for a sub-agent
     * @param turns its turns
     */
    record Spec(String name, int organisation, int inheritedTokens, long startMicros, List<Turn> turns) {
        Spec at(long micros) {
            return new Spec(name, organisation, inheritedTokens, micros, turns);
        }

        /** The engine time of the program in microseconds if every prefix is cached and each batch is full. */
        double perfectMicros() {
            double sum = 0;
            long context = inheritedTokens;
            for (Turn turn : turns) {
                context += turn.newTokens();
                sum += turn.newTokens() * FakeEngine.PREFILL_MICROS_PER_TOKEN
                        + turn.outputTokens() * FakeEngine.fullBatchMicrosPerToken(context);
                context += turn.outputTokens();
                sum += turn.children().stream().mapToDouble(Spec::perfectMicros).sum();
            }
            return sum;
        }

        int requests() {
            return turns.size()
                    + turns.stream()
                            .flatMap(turn -> turn.children().stream())
                            .mapToInt(Spec::requests)
                            .sum();
        }
    }

    /**
     * One model call, with what happens after it.
     *
     * @param newTokens new prompt tokens
     * @param outputTokens tokens of the answer
     * @param pauseMicros the tool pause after it
     * @param children sub-agents that run after it, for whose end the next turn waits
     */
    record Turn(int newTokens, int outputTokens, long pauseMicros, List<Spec> children) {}

    /**
     * Returns programs whose perfect engine time is a part of what the engines have.
     *
     * @param seed the seed
     * @param engines the number of engines
     * @param load the part, for example 0.9
     * @param seconds the length
     */
    static Workload of(long seed, int engines, double load, int seconds) {
        Random random = new Random(seed);
        double wanted = load * engines * seconds * MICROS_PER_SECOND;
        List<Spec> bodies = new ArrayList<>();
        double sum = 0;
        while (sum < wanted) {
            Spec body = program(random, "p" + bodies.size(), organisation(random), 0, true);
            bodies.add(body);
            sum += body.perfectMicros();
        }
        long length = (long) (sum / (load * engines));
        List<Spec> placed = new ArrayList<>();
        for (Spec body : bodies) {
            placed.add(body.at((long) (random.nextDouble() * length)));
        }
        placed.sort(Comparator.comparingLong(Spec::startMicros));
        return new Workload(List.copyOf(placed), length);
    }

    /** Returns these programs with more of one organisation, so that it offers its requests that many times. */
    Workload withOffender(int organisation, double times, long seed) {
        Random random = new Random(seed);
        List<Spec> all = new ArrayList<>(programs);
        List<Spec> own =
                programs.stream().filter(p -> p.organisation() == organisation).toList();
        for (int i = 0; i < own.size() * (times - 1); i++) {
            Spec extra = program(random, "x" + i, organisation, 0, true);
            all.add(extra.at((long) (random.nextDouble() * lengthMicros)));
        }
        all.sort(Comparator.comparingLong(Spec::startMicros));
        return new Workload(List.copyOf(all), lengthMicros);
    }

    /** Returns the mean requests a second of an organisation. */
    double requestRate(int organisation) {
        long requests = programs.stream()
                .filter(p -> p.organisation() == organisation)
                .mapToLong(Spec::requests)
                .sum();
        return requests * MICROS_PER_SECOND / lengthMicros;
    }

    private static int organisation(Random random) {
        double left = random.nextDouble();
        for (int i = 0; i < Deployment.SHARES.length; i++) {
            left -= Deployment.SHARES[i];
            if (left < 0) {
                return i;
            }
        }
        return 0;
    }

    private static Spec program(Random random, String name, int organisation, int inherited, boolean root) {
        int turns = root ? heavy(random, 5, 0.9, 1, MAX_TURNS) : heavy(random, 2, 0.5, 1, 6);
        List<Turn> list = new ArrayList<>();
        int context = inherited;
        for (int i = 0; i < turns && context < MAX_CONTEXT_TOKENS; i++) {
            int fresh = i == 0 && root ? heavy(random, 1_500, 0.9, 100, 30_000) : heavy(random, 300, 1.1, 20, 15_000);
            int output = heavy(random, 120, 0.8, 8, MAX_OUTPUT_TOKENS);
            long pause = i == turns - 1 ? 0 : heavy(random, 1_500, 1.0, 50, 60_000) * 1_000L;
            context += fresh + output;
            List<Spec> children = new ArrayList<>();
            if (root && i < turns - 1 && random.nextDouble() < SUB_AGENT_CHANCE) {
                int count = 1 + random.nextInt(MAX_SUB_AGENTS);
                for (int child = 0; child < count; child++) {
                    String childName = name + "-" + i + "-" + child;
                    children.add(program(random, childName, organisation, context / 2, false));
                }
            }
            list.add(new Turn(fresh, output, pause, List.copyOf(children)));
        }
        return new Spec(name, organisation, inherited, 0, List.copyOf(list));
    }

    /** A log-normal value with bounds. */
    private static int heavy(Random random, double median, double sigma, int least, int most) {
        return (int) Math.max(least, Math.min(most, Math.round(median * Math.exp(sigma * random.nextGaussian()))));
    }
}
