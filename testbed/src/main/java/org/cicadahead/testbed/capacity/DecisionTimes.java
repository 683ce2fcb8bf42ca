package org.cicadahead.testbed.capacity;

import java.util.Random;
import java.util.Set;
import org.cicadahead.model.QueuePolicy;
import org.cicadahead.model.RunId;
import org.cicadahead.queue.QueueLimits;
import org.cicadahead.queue.QueuedRun;
import org.cicadahead.queue.RunQueue;
import org.cicadahead.routing.ChoiceRequest;
import org.cicadahead.routing.EndpointChooser;

/** Processor time of the decisions of an entry and of an endpoint daemon. */
final class DecisionTimes {
    private static final long SEED = 11;
    private static final int WARM_UP = 20_000;
    private static final int TIMED = 20_000;
    private static final double NANOS_PER_MICRO = 1_000;
    private static final long DEADLINE_MILLIS = 1_000_000;

    private DecisionTimes() {}

    static double choiceMicros(int endpoints) {
        EndpointChooser chooser = EndpointChooser.create(Samples.ZONE, new Random(SEED));
        chooser.apply(Samples.table(endpoints), 0);
        choose(chooser, WARM_UP);
        long began = System.nanoTime();
        choose(chooser, TIMED);
        return (System.nanoTime() - began) / NANOS_PER_MICRO / TIMED;
    }

    static double queueMicros(int queued) {
        RunQueue queue =
                RunQueue.of(new QueueLimits(QueueLimits.DEFAULT_MAX_QUEUED, Long.MAX_VALUE, 1, Long.MAX_VALUE));
        for (int i = 0; i < queued; i++) {
            queue.offer(run(i), i);
        }
        pass(queue, queued, WARM_UP);
        long began = System.nanoTime();
        pass(queue, queued + WARM_UP, TIMED);
        return (System.nanoTime() - began) / NANOS_PER_MICRO / TIMED;
    }

    private static void choose(EndpointChooser chooser, int times) {
        for (int i = 0; i < times; i++) {
            ChoiceRequest request = new ChoiceRequest(
                    Samples.POOL, "model-0", Samples.program(i), Samples.program(i % 1_000), 2_000, Set.of(), Set.of());
            if (chooser.choose(request, i).isEmpty()) {
                throw new IllegalStateException("no endpoint was chosen");
            }
        }
    }

    private static void pass(RunQueue queue, int first, int times) {
        for (int i = 0; i < times; i++) {
            QueuedRun next = queue.poll(first + i).orElseThrow();
            queue.finished(next.run(), next.tokens(), first + i);
            queue.offer(run(first + i), first + i);
        }
    }

    private static QueuedRun run(int number) {
        return new QueuedRun(
                RunId.of("run-" + number),
                Samples.organisation(number % 50),
                1,
                number % 5_000,
                QueuePolicy.FAIR,
                false,
                1_000,
                100,
                number,
                number + DEADLINE_MILLIS);
    }
}
