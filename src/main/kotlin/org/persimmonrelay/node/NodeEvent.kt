package org.persimmonrelay.node

import org.persimmonrelay.timeline.EventCode

/** Events of starting, stopping and reconfiguring a node. */
public enum class NodeEvent(override val number: Int, override val summary: String) : EventCode {
    NODE_STARTING(1000, "The node starts as a new incarnation."),
    NODE_READY(1001, "The node has loaded the newest configuration and serves callers."),
    NODE_LEAVING(1002, "The node is shutting down: it accepts no new requests and finishes those in flight."),
    NODE_STOPPED(1003, "The node has left the cluster and stopped."),
    SETTINGS_RELOADED(1004, "The node applied changed settings."),
    SETTINGS_UNUSABLE(1005, "Changed settings can't be read; the node continues with the previous ones."),
}
