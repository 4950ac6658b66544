package io.kelphoist.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.model.Heartbeat;

/**
 * A heartbeat that a worker sent to this controller.
 *
 * @param message the message as received, which a controller relays unchanged: it may have fields
 *     that this version does not know
 * @param heartbeat the decoded message
 */
public record ReceivedHeartbeat(ObjectNode message, Heartbeat heartbeat) {}
