package org.cicadahead.testbed.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArraySet;

/** One completion request in an emulated engine. Guarded by the lock of its engine but for the readers. */
final class EngineStream {
    /** What became of a stream. */
    enum State {
        WAITING,
        RUNNING,
        DONE,
        CANCELLED
    }

    final String run;
    final String owner;
    final String model;
    final String prompt;
    final String lastMessage;
    final long maxTokens;
    final List<byte[]> events = new ArrayList<>();
    final Set<Reader> readers = new CopyOnWriteArraySet<>();
    State state = State.WAITING;
    long promptTokens;
    long cachedTokens;
    long prefillLeft;
    long tokens;
    long unreadSinceNanos = System.nanoTime();

    /** Follows a stream. Called without the lock of the engine. */
    interface Reader {
        /** There are more events, or the stream has ended. */
        void wake();

        /** The engine has crashed. */
        void abort();
    }

    EngineStream(String run, String owner, String model, String prompt, String lastMessage, long maxTokens) {
        this.run = run;
        this.owner = owner;
        this.model = model;
        this.prompt = prompt;
        this.lastMessage = lastMessage;
        this.maxTokens = maxTokens;
    }

    boolean ended() {
        return state == State.DONE || state == State.CANCELLED;
    }

    long contextTokens() {
        return promptTokens + tokens;
    }

    void produce() {
        events.add(EngineAnswers.event(
                events.size(), EngineAnswers.chunk(run, model, EngineAnswers.token(lastMessage, tokens))));
        tokens++;
        if (tokens >= maxTokens) {
            events.add(EngineAnswers.event(
                    events.size(), EngineAnswers.last(run, model, promptTokens, cachedTokens, tokens)));
            state = State.DONE;
        }
    }

    byte[] whole() {
        return EngineAnswers.whole(
                        run, model, EngineAnswers.content(lastMessage, tokens), promptTokens, cachedTokens, tokens)
                .toString()
                .getBytes(java.nio.charset.StandardCharsets.UTF_8);
    }
}
