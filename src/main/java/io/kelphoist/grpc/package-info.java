/**
 * The user API over gRPC: submission, query and cancellation of jobs, and streams of job events.
 *
 * <p>{@link io.kelphoist.grpc.GrpcServer} owns the transport, the event broker and the health
 * status. gRPC requires HTTP/2, which the controller's XNIO transport does not support; therefore
 * the server has a transport of its own, with one I/O thread. All calls run on the event thread,
 * which owns the {@link io.kelphoist.events.EventBroker}. Requests that need the controller are
 * passed to it through {@link io.kelphoist.grpc.SchedulerBackend}: the event thread and the
 * controller's event loop exchange tasks, and neither waits for the other.
 *
 * <p>The package uses {@code admission}, {@code events} and {@code config}. It must not depend on
 * the controller, on leadership or on the scheduler's state. Only {@link
 * io.kelphoist.grpc.GrpcMessageCodec} and the classes that implement calls use the protocol's
 * messages.
 */
package io.kelphoist.grpc;
