/**
 * The state store's protocol and the records stored there.
 *
 * <p>The field names of the protocol occur only in {@link
 * io.kelphoist.statestore.protocol.StateStoreRequests} and {@link
 * io.kelphoist.statestore.protocol.StateStoreResponses}, those of stored records only in {@link
 * io.kelphoist.statestore.protocol.RecordCodec}, except those of job specs and machine types, which
 * are stored in the format of messages ({@link io.kelphoist.wire}). Callers use {@link
 * io.kelphoist.statestore.protocol.StateStoreResult} and the record types of this package instead.
 *
 * <p>All types are stateless or immutable and may be used by any thread, except {@link
 * io.kelphoist.statestore.protocol.StartPageEncoder}. The package depends only on the model and the
 * wire encoding.
 */
package io.kelphoist.statestore.protocol;
