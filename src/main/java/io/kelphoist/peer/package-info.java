/**
 * Messages between controllers: their types, codecs, HTTP paths and clients.
 *
 * <p>{@link io.kelphoist.peer.GrantClient}, {@link io.kelphoist.peer.TaskEventClient} and {@link
 * io.kelphoist.peer.HeartbeatRelayClient} send typed messages on the connections of {@link
 * io.kelphoist.peer.PeerClient}. Field names on the wire appear in the codecs only: {@link
 * io.kelphoist.peer.GrantCodec}, {@link io.kelphoist.peer.HandoverCodec} and {@link
 * io.kelphoist.peer.TaskEventCodec} encode whole messages, and the codecs for replication,
 * delegation and cancellation encode one field each.
 *
 * <p>A leader requests grants from the other controllers and replicates its state with the same
 * requests. Each kind of state is a separate field, so that controllers of different versions
 * interoperate: a version skips fields that it does not know. The field names of these messages
 * must not change.
 *
 * <p>The package owns no state. It depends on the types that it encodes and on the wire encoding,
 * and must not depend on the packages leadership and controller. Everything runs on the event loop.
 */
package io.kelphoist.peer;
