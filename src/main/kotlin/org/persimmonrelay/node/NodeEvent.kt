package org.persimmonrelay.node

import org.persimmonrelay.timeline.EventCode

/** Events of a node's life. */
public enum class NodeEvent(override val number: Int, override val summary: String) : EventCode {
    NODE_STARTING(1000, "The node starts as a new incarnation."),
    NODE_READY(1001, "The node has the newest configuration and serves callers."),
    NODE_LEAVING(1002, "The node was told to stop; it takes no new work and ends what runs."),
    NODE_STOPPED(1003, "The node has handed over its duties and left."),
    SETTINGS_RELOADED(1004, "Changed settings are in force."),
    SETTINGS_UNUSABLE(1005, "Changed settings can't be read; the node goes on with those it had."),
}
