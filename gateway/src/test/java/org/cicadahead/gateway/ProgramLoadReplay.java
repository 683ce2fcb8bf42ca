package org.cicadahead.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.cicadahead.fleet.PriorityClass;
import org.cicadahead.fleet.QuotaShares;
import org.cicadahead.fleet.RequestQuota;
import org.cicadahead.quota.QuotaTable;
import org.cicadahead.quota.QuotaTolerance;
import org.cicadahead.site.SiteOrganisation;

/**
 * Replays the programs of one organisation against the rate limiters of many entries and the leader's table, in virtual
 * time. The arrivals are drawn from a seed. A refused caller returns when it was told to, at another entry; a program
 * ends with a call that is refused twice or a turn that is refused six times.
 */
final class ProgramLoadReplay {
    private static final String ORGANISATION = "o";
    private static final long ROUND_TRIP_MILLIS = 3;
    private static final long TICK_MILLIS = 50;
    private static final long TURN_MILLIS = 170;
    private static final long CALL_MILLIS = 40;
    private static final long TURN_LIMIT_MILLIS = 2_600;
    private static final long CALL_LIMIT_MILLIS = 1_300;
    private static final int ATTEMPTS = 2;
    private static final int TURN_SENDS = 3;
    private static final int MAX_CALLS = 3;
    /** What a program is worth that ends late, as a fraction of what it is worth in time. */
    private static final double LATE_WORTH = 0.3;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::millis).thenComparingLong(Event::sequence));
    private final List<RateLimiter> entries = new ArrayList<>();
    private final SiteOrganisation organisation;
    private final QuotaTable leader;
    private final Random random;
    private long now;
    private long sequence;
    private final Map<PriorityClass, Worth> worths = new EnumMap<>(PriorityClass.class);

    private static final class Worth {
        private double owed;
        private double earned;
    }

    private record Event(long millis, long sequence, Runnable action) {}

    /**
     * Creates a replay.
     *
     * @param entryCount the number of entries
     * @param rate the limit of the organisation in requests a second, which is also its burst
     * @param tolerance the tolerance of the leader's table
     * @param seed the seed of the arrivals
     */
    ProgramLoadReplay(int entryCount, double rate, QuotaTolerance tolerance, long seed) {
        this.organisation = new SiteOrganisation(ORGANISATION, List.of(), rate, rate, null);
        this.leader = QuotaTable.create(0, tolerance);
        this.random = new Random(seed);
        for (int i = 0; i < entryCount; i++) {
            RateLimiter entry = new RateLimiter("e" + i, this::requestShares, () -> now);
            entries.add(entry);
            at(i % TICK_MILLIS, () -> tick(entry));
        }
    }

    /** Adds programs with a mean number of turns that arrive at random between two times. */
    void addPrograms(
            PriorityClass first, double perSecond, int meanTurns, double worth, long fromMillis, long untilMillis) {
        double millis = fromMillis + exponential() / perSecond * 1_000;
        while (millis < untilMillis) {
            int turns = Math.max(1, (int) Math.round(exponential() * meanTurns));
            at((long) millis, () -> new Program(first, turns, worth).start());
            millis += exponential() / perSecond * 1_000;
        }
    }

    /** Plays until the given time. */
    void play(long untilMillis) {
        while (!events.isEmpty() && events.peek().millis <= untilMillis) {
            Event next = events.poll();
            now = Math.max(now, next.millis);
            next.action.run();
        }
    }

    /** Returns what the programs whose first turns are of a class are worth in time. */
    double owed(PriorityClass first) {
        return worths.containsKey(first) ? worths.get(first).owed : 0;
    }

    /** Returns what the programs whose first turns are of a class have earned. */
    double earned(PriorityClass first) {
        return worths.containsKey(first) ? worths.get(first).earned : 0;
    }

    private double exponential() {
        return -Math.log(1 - random.nextDouble());
    }

    private void tick(RateLimiter entry) {
        entry.tick();
        at(now + TICK_MILLIS, () -> tick(entry));
    }

    private CompletableFuture<QuotaShares> requestShares(RequestQuota request) {
        CompletableFuture<QuotaShares> reply = new CompletableFuture<>();
        at(
                now + ROUND_TRIP_MILLIS,
                () -> reply.complete(new QuotaShares(
                        QuotaTable.LEASE_MILLIS,
                        leader.grant(request.entry(), request.needs(), Map.of(ORGANISATION, organisation), now))));
        return reply;
    }

    private void at(long millis, Runnable action) {
        events.add(new Event(millis, sequence++, action));
    }

    /** A program: turns one after the other, each followed by calls at the same time. */
    private final class Program {
        private final PriorityClass first;
        private final int turns;
        private final double worth;
        private final long aimMillis;
        private int turnsDone;
        private int callsOpen;
        private boolean ended;

        Program(PriorityClass first, int turns, double worth) {
            this.first = first;
            this.turns = turns;
            this.worth = worth;
            this.aimMillis = now + (long) (1.4 * turns * (TURN_MILLIS + CALL_MILLIS + 24)) + 209;
        }

        void start() {
            worths.computeIfAbsent(first, key -> new Worth()).owed += worth;
            turn(TURN_SENDS);
        }

        private void turn(int sendsLeft) {
            PriorityClass priority = turnsDone == 0 ? first : PriorityClass.RUNNING;
            request(priority, ATTEMPTS, now + TURN_LIMIT_MILLIS, served -> {
                if (served) {
                    at(now + TURN_MILLIS, this::calls);
                } else if (sendsLeft > 1) {
                    at(now + 100 + random.nextInt(300), () -> turn(sendsLeft - 1));
                }
            });
        }

        private void calls() {
            callsOpen = 1 + random.nextInt(MAX_CALLS);
            for (int i = callsOpen; i > 0; i--) {
                request(PriorityClass.CALL, ATTEMPTS, now + CALL_LIMIT_MILLIS, served -> {
                    ended |= !served;
                    at(now + CALL_MILLIS, this::callDone);
                });
            }
        }

        private void callDone() {
            if (--callsOpen > 0 || ended) {
                return;
            }
            if (++turnsDone < turns) {
                turn(TURN_SENDS);
            } else {
                worths.get(first).earned += now <= aimMillis ? worth : LATE_WORTH * worth;
            }
        }

        private void request(PriorityClass priority, int attempts, long deadline, Consumer<Boolean> decided) {
            RateLimiter entry = entries.get(random.nextInt(entries.size()));
            entry.admit(organisation, priority, refusal -> {
                long leftMillis = deadline - now;
                if (refusal == null) {
                    decided.accept(true);
                } else if (attempts > 1 && leftMillis > 0) {
                    long backMillis = now + Math.min(refusal.retryAfterMillis(), leftMillis / 3);
                    at(backMillis + 2 * ROUND_TRIP_MILLIS, () -> request(priority, attempts - 1, deadline, decided));
                } else {
                    decided.accept(false);
                }
            });
        }
    }
}
