/**
 * Delivery of job events to subscribers: each job's events in order, and its final event (done or
 * cancelled) without loss.
 *
 * <p>There are two sources. Stored records of jobs (accepted, done, cancelled) come from the state
 * store on every controller, in the order of the store's revisions; {@link
 * io.kelphoist.events.CompactedJobLog} keeps them. Transient events (a task started, moved,
 * stopped) come from the leader's {@link io.kelphoist.events.TaskEventLog}; they may be lost or
 * merged, and the latest state of each job replaces them. {@link io.kelphoist.events.EventBroker}
 * combines both and delivers them to {@link io.kelphoist.events.Subscriber}s. A {@link
 * io.kelphoist.events.Cursor} identifies a position in the store's order, so that a client can
 * resume at any controller.
 *
 * <p>The package owns subscriptions and the job records that they are served from. It has no I/O,
 * no clock and no threads of its own. It depends on {@code model} and on the scheduler's task
 * events ({@code scheduler.spi}), and must not depend on gRPC or on the controller. An {@code
 * EventBroker} and all objects that it owns are confined to one thread, called the event thread;
 * the leader's {@code TaskEventLog} is confined to the controller's event loop.
 */
package io.kelphoist.events;
