package org.persimmonrelay.backend

import org.persimmonrelay.timeline.EventCode

/** Events of the list of backend servers. */
public enum class BackendEvent(override val number: Int, override val summary: String) : EventCode {
    SERVER_LISTED(2600, "A backend server announced itself or changed."),
    SERVER_GONE(2601, "A backend server's entry was removed; a `lapsed` one stays in use until the store is stable."),
    ENTRY_IGNORED(2602, "An entry in the list of servers is invalid and is ignored; the field `why` gives the reason."),
    SERVER_SUSPECTED(2603, "Requests to a backend server fail; it gets few requests until one succeeds."),
    SERVER_TRUSTED(2604, "A suspected backend server responds again."),
    LIMIT_NAMED(2605, "A backend server limits the requests a second that it takes from all nodes together."),
    LIMIT_LIFTED(2606, "A backend server no longer limits its requests."),
    SERVER_LEAVING_HEARD(
        2607,
        "A backend server said in a response that it leaves; it gets no new requests, whatever its entry says.",
    ),
}
