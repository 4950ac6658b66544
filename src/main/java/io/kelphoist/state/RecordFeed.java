package io.kelphoist.state;

import com.fasterxml.jackson.databind.JsonNode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows what is stored below a prefix: reads it once, and then what changes from that revision on. Where changes may
 * have been missed, it is read anew. One question is under way at a time, so that everything comes in order.
 */
public final class RecordFeed {
    /** Takes what is stored. */
    public interface Reader {
        /** All there is, in place of whatever was told before; {@code askedAt}: when the first page was asked for, on the loop's clock. */
        void all(StateClient.Range range, double askedAt);

        /** What changed up to a revision, oldest first; perhaps nothing. */
        void changed(JsonNode events, long revision, double askedAt);

        /** The state service does not answer, or changes were missed: what was told may be old until it is told again. */
        default void behind() { }
    }

    private static final Logger LOG = LoggerFactory.getLogger(RecordFeed.class);
    private static final double AGAIN_S = 0.25;

    private final StateClient state;
    private final StateClient.Loop loop;
    private final String prefix;
    private final int holdMs;
    private final Reader reader;
    private double paceS;
    /** Raised to leave what is under way to itself. */
    private long life;
    private long position = -1;

    /** @param holdMs how long a question for changes may wait for one */
    public RecordFeed(StateClient state, StateClient.Loop loop, String prefix, int holdMs, Reader reader) {
        this.state = state;
        this.loop = loop;
        this.prefix = prefix;
        this.holdMs = holdMs;
        this.reader = reader;
    }

    /** Up to which revision it is known what is stored; negative: it is not. */
    public long position() {
        return position;
    }

    /**
     * Follows from now on, from where it stands.
     *
     * @param pauseS between two questions, in seconds: what changes meanwhile comes with one answer
     */
    public void follow(double pauseS) {
        paceS = pauseS;
        next(++life);
    }

    public void stop() {
        life++;
    }

    /** Forgets where it stands: the next question reads everything. */
    public void forget() {
        stop();
        position = -1;
    }

    /** Once what is told is as of a moment after this call; it does not follow on by itself. */
    public void prove(Runnable proved) {
        prove(++life, proved);
    }

    private void prove(long mine, Runnable proved) {
        if (position < 0) {
            read(mine, proved, () -> loop.after(AGAIN_S, () -> ifStill(mine, () -> prove(mine, proved))));
            return;
        }
        double askedAt = loop.now();
        state.changes(prefix, position, result -> ifStill(mine, () -> {
            if (took(result, askedAt)) {
                proved.run();
            } else {
                loop.after(AGAIN_S, () -> ifStill(mine, () -> prove(mine, proved)));
            }
        }));
    }

    private void ifStill(long mine, Runnable what) {
        if (mine == life) {
            what.run();
        }
    }

    private void next(long mine) {
        if (position < 0) {
            read(mine, () -> next(mine), () -> loop.after(AGAIN_S, () -> ifStill(mine, () -> next(mine))));
            return;
        }
        double askedAt = loop.now();
        state.watch(prefix, position, holdMs, result -> ifStill(mine, () -> {
            boolean took = took(result, askedAt);
            if (took && paceS == 0) {
                next(mine);
            } else {
                loop.after(took ? paceS : AGAIN_S, () -> ifStill(mine, () -> next(mine)));
            }
        }));
    }

    private void read(long mine, Runnable then, Runnable failed) {
        double askedAt = loop.now();
        state.range(prefix, range -> ifStill(mine, () -> {
            if (range == null) {
                reader.behind();
                failed.run();
            } else {
                position = range.revision();
                reader.all(range, askedAt);
                then.run();
            }
        }));
    }

    /** Whether an answer was one, and its changes were taken in. */
    private boolean took(StateClient.Result result, double askedAt) {
        if (result instanceof StateClient.Done d && d.status() == 200) {
            position = Math.max(position, d.body().path("logbook").asLong(position));
            reader.changed(d.body().path("events"), position, askedAt);
            return true;
        }
        if (result instanceof StateClient.Done d && d.status() == 410) {
            LOG.info("the state service has forgotten the changes below {} after {}, all of it is read anew", prefix, position);
            position = -1;
        }
        reader.behind();
        return false;
    }
}
