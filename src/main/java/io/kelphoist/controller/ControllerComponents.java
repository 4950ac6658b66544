package io.kelphoist.controller;

import io.kelphoist.admission.Admission;
import io.kelphoist.config.PlatformSettings;
import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.heartbeat.HeartbeatEndpoint;
import io.kelphoist.heartbeat.WorkerConnections;
import io.kelphoist.leadership.ExternalSystems;
import io.kelphoist.leadership.GrantExchange;
import io.kelphoist.leadership.LeaderElector;
import io.kelphoist.leadership.LeaderTermLifecycle;
import io.kelphoist.leadership.ReplicationHandlers;
import io.kelphoist.metrics.ControllerCounters;
import io.kelphoist.peer.PeerClient;

/** The components of one controller, as {@link ControllerFactory} connected them. */
record ControllerComponents(
        PlatformSettings settings,
        ControllerCounters counters,
        EventLoop eventLoop,
        TickScheduler tickScheduler,
        PeerClient peerClient,
        ExternalSystems systems,
        ReplicationHandlers replication,
        LeaderElector elector,
        LeaderTermLifecycle terms,
        GrantExchange grantExchange,
        JobObservers observers,
        WorkerConnections workerConnections,
        HeartbeatEndpoint heartbeatEndpoint,
        Admission admission) {}
