package io.kelphoist.scheduler.heartbeats;

/** How a worker's message was sent. */
enum MessageKind {
    /**
     * Sent by the worker itself, one at a time: the response to the heartbeat before was handled or
     * is dropped.
     */
    HEARTBEAT,
    /** The response to a direct request; the response to a heartbeat may still be on the way. */
    DIRECT_RESPONSE
}
