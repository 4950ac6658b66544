/**
 * Access to the state store: the consensus-backed key-value store that holds all durable state.
 *
 * <p>{@link io.kelphoist.statestore.StateStoreClient} implements the store's protocol. {@link
 * io.kelphoist.statestore.GroupCommitter} combines queued writes into transactions, {@link
 * io.kelphoist.statestore.RecordWatcher} watches the records below a prefix. Messages and stored
 * values are in {@link io.kelphoist.statestore.protocol}.
 *
 * <p>The package owns the rate limiters of requests and mutations and the queues of writes. It
 * depends on the protocol, the HTTP client and the event loop, and must not depend on the
 * scheduler, leadership or the controller. All code of the package runs on the event loop.
 */
package io.kelphoist.statestore;
