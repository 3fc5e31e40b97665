package org.persimmonrelay.route

import org.persimmonrelay.timeline.EventCode

/** Events of routes and their configuration. */
public enum class RouteEvent(override val number: Int, override val summary: String) : EventCode {
    VERSION_IN_FORCE(2500, "A newer configuration of routes is in force on this node."),
    OLDER_VERSION_IGNORED(2501, "The store returned an older configuration than the one in force; it is ignored."),
    ENTRY_IGNORED(2502, "An entry of the configuration is invalid and is ignored; the field `why` gives the reason."),
}
