package io.kelphoist.controller;

import io.kelphoist.leadership.LeaderTermLifecycle;
import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.spi.TaskEvent;
import java.util.Optional;

/**
 * The optional components of a controller that observe jobs: the event feed for gRPC and the
 * recorder of traces. Each is added once, after the start of the controller, because creating it is
 * slow. All methods run on the event loop, except {@link #eventFeed}, which may be called on any
 * thread.
 */
final class JobObservers {
    private volatile Optional<JobEventFeed> eventFeed = Optional.empty();
    private Optional<JobTraceRecorder> traceRecorder = Optional.empty();
    private LeaderTermLifecycle terms;

    /** Sets the source of the current term. Called once, before the first event. */
    void attach(LeaderTermLifecycle terms) {
        this.terms = terms;
    }

    /** The event feed; empty if gRPC is not served or not started yet. */
    Optional<JobEventFeed> eventFeed() {
        return eventFeed;
    }

    /** Adds a recorder, which records traces from now on. */
    void addTraceRecorder(JobTraceRecorder recorder) {
        traceRecorder = Optional.of(recorder);
    }

    /** Adds and starts a feed, which observes jobs from now on. */
    void addEventFeed(JobEventFeed feed) {
        eventFeed = Optional.of(feed);
        feed.start();
        terms.current().ifPresent(term -> feed.onElected(term.schedulerState().term()));
    }

    /** Passes on the start of a term that this controller leads. */
    void onTermStarted(long term) {
        eventFeed.ifPresent(feed -> feed.onElected(term));
        traceRecorder.ifPresent(recorder -> recorder.onElected(term));
    }

    /** Passes on the end of the term that this controller led. */
    void onTermEnded() {
        eventFeed.ifPresent(JobEventFeed::onTermEnded);
        traceRecorder.ifPresent(JobTraceRecorder::onTermEnded);
    }

    /**
     * Passes on an event of a job's tasks. The event feed gets it only while this controller has a
     * current term, so that users receive no events of a term that has ended.
     */
    void onTaskEvent(Job job, TaskEvent event) {
        if (traceRecorder.isPresent()) {
            traceRecorder.get().onTaskEvent(job, event);
        }
        if (eventFeed.isPresent() && terms.current().isPresent()) {
            boolean isRecovered = terms.current().get().schedulerState().isRecovered();
            eventFeed.get().onTaskEvent(job, event, isRecovered, System.currentTimeMillis());
        }
    }
}
