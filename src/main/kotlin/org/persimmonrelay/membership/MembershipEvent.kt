package org.persimmonrelay.membership

import org.persimmonrelay.timeline.EventCode

/** Events of membership and gossip. */
public enum class MembershipEvent(override val number: Int, override val summary: String) : EventCode {
    JOINED(1800, "This node joined the system."),
    MEMBER_ALIVE(1801, "A member is alive: it joined, restarted, or was suspected or declared failed before."),
    MEMBER_SUSPECT(1802, "A member answered neither a direct probe nor probes through other members."),
    MEMBER_FAILED(1803, "A member was declared failed."),
    MEMBER_LEAVING(1804, "A member is shutting down and takes no new work."),
    MEMBER_LEFT(1805, "A member has left."),
    REFUTED(1806, "Other members suspected this node or declared it failed; it announces that it is alive."),
    PAUSE_NOTICED(1807, "This node was paused; its pending probes were dropped and suspicions extended by the pause."),
    NAME_TAKEN(1808, "Another process runs under this node's name; stop one of the two or rename it."),
    SEEDS_UNAVAILABLE(1809, "The seed rows in the table could not be read or written; the node tries again."),
    REGION_SILENT(1810, "No node of another region answers; its members keep their last known state."),
    REGION_BACK(1811, "Another region answers again."),
    SERVER_LEAVING(1812, "A backend server is draining and gets no new work."),
    GOSSIP_TOO_LARGE(1813, "A gossip value exceeds its size limit and is not published; report it as a defect."),
    NODES_CHANGED(1814, "The set of running nodes changed, according to their heartbeat rows in the store."),
    NODE_ROW_IGNORED(1815, "A node's heartbeat row in the store can't be parsed and is ignored."),
}
