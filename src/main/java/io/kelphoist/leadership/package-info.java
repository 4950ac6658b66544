/**
 * Leader election of a controller, the terms that it leads, and the replication of the state that
 * the next leader needs.
 *
 * <p>{@code LeaderElector} connects the election to the state store and the other controllers.
 * {@code LeaderTermLifecycle} owns the current {@code LeaderTerm}, whose scheduler makes decisions
 * and whose {@code TermOutput} passes the resulting requests on to the clients of the workers, the
 * state store and the cloud. The replication handlers live as long as their controller process:
 * {@code RecordReplication} follows the state store, and the others exchange their data in the
 * grant messages of {@code GrantExchange}. Logic that performs no I/O belongs to the packages
 * election, scheduler, failover, replication, delegation and cancellation. This package performs
 * its I/O through the packages statestore, peer, cloud and worker, and must not depend on
 * controller or heartbeat. All classes run on the event loop.
 */
package io.kelphoist.leadership;
