package org.persimmonrelay.membership

import org.persimmonrelay.timeline.EventCode

/** Events of membership and gossip. */
public enum class MembershipEvent(override val number: Int, override val summary: String) : EventCode {
    JOINED(1800, "This node joined and knows the other members."),
    MEMBER_ALIVE(1801, "A member is alive, after it joined, restarted or was taken for failed."),
    MEMBER_SUSPECT(1802, "A member gave no answer, neither directly nor through others."),
    MEMBER_FAILED(1803, "A member was declared failed."),
    MEMBER_LEAVING(1804, "A member leaves on purpose."),
    MEMBER_LEFT(1805, "A member has left."),
    REFUTED(1806, "Others took this node for suspect or failed; it told them that it is alive."),
    PAUSE_NOTICED(1807, "This node stood still; what it had not heard meanwhile is not held against others."),
    NAME_TAKEN(1808, "Another process runs under this node's name; stop one of the two or rename it."),
    SEEDS_UNAVAILABLE(1809, "The table gave no seeds; joining goes on as soon as it answers."),
    REGION_SILENT(1810, "No node of another region answers; its members are kept as last known."),
    REGION_BACK(1811, "Another region answers again."),
    SERVER_LEAVING(1812, "A backend server leaves and gets no new work."),
    GOSSIP_TOO_LARGE(1813, "A summary is over its bound and is not spread; report it as a defect."),
    NODES_CHANGED(1814, "Other nodes are known to run than before, by their rows in the store."),
    NODE_ROW_IGNORED(1815, "A node's row in the store can't be read and is ignored."),
}
