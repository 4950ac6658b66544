package io.kelphoist.core;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Which tasks of unfinished jobs are done, on record at the state service before a worker may forget them. */
final class ProgressRecords {
    /** Tasks per entry: a kilobyte of bits, so that no job is too large for a value. */
    static final int PIECE = 8192;
    private static final int FRAME_BYTES = 16;

    /** A part of a job, with the number of the first of its tasks. */
    private record Piece(Job job, int first) {
        int bytes() {
            int tasks = Math.min(PIECE, job.spec.tasks() - first);
            return job.spec.id().length() + FRAME_BYTES + (tasks + 23) / 24 * 4;
        }
    }

    private final Pages<Piece> pages;
    private final Effects effects;
    private final Map<Job, List<Piece>> pieces = new HashMap<>();
    private final Map<Integer, Map<Job, BitSet>> underWay = new HashMap<>();

    ProgressRecords(Policy policy, Effects effects) {
        this.effects = effects;
        pages = new Pages<>(policy.recordBytes(), policy.progressEveryS(), Piece::bytes);
    }

    void restore(int page, Job job, int first) {
        Piece piece = piece(job, first);
        if (!pages.contains(piece)) {
            pages.restore(page, piece);
        }
    }

    void changed(Job job, int task) {
        pages.put(piece(job, task / PIECE * PIECE));
    }

    private Piece piece(Job job, int first) {
        List<Piece> all = pieces.computeIfAbsent(job, j -> new ArrayList<>());
        for (Piece piece : all) {
            if (piece.first == first) {
                return piece;
            }
        }
        Piece piece = new Piece(job, first);
        all.add(piece);
        return piece;
    }

    /** A job whose end is on record needs no more. */
    void ended(Job job) {
        List<Piece> all = pieces.remove(job);
        if (all != null) {
            all.forEach(pages::remove);
        }
    }

    void run(double now) {
        pages.run(now, piece -> true, (page, entries) -> {
            Map<Job, BitSet> sent = new HashMap<>();
            List<TaskProgress> all = new ArrayList<>();
            for (Piece piece : entries) {
                BitSet done = piece.job.done.get(piece.first, piece.first + PIECE);
                all.add(new TaskProgress(piece.job.spec.id(), piece.first, done));
                BitSet known = sent.computeIfAbsent(piece.job, j -> new BitSet());
                done.stream().forEach(task -> known.set(piece.first + task));
            }
            underWay.put(page, sent);
            effects.storeProgress(page, all);
        });
    }

    void stored(int page, boolean stored) {
        pages.written(page, stored);
        Map<Job, BitSet> sent = underWay.remove(page);
        if (stored && sent != null) {
            sent.forEach((job, done) -> job.storedDone.or(done));
        }
    }
}
