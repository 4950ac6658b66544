/**
 * Value types that several packages share: jobs as submitted and as stored, machines as reported by
 * the cloud, by workers and by the leader to its followers, messages between the leader and
 * workers, and the scheduling policy.
 *
 * <p>All types are immutable except {@link io.kelphoist.model.NameIndex}. They perform no I/O and
 * depend on no other package of the project. Their encoding on the wire and in records is defined
 * in the codecs only.
 */
package io.kelphoist.model;
