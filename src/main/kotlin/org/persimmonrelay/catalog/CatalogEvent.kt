package org.persimmonrelay.catalog

import org.persimmonrelay.timeline.EventCode

/** Events of the configuration. */
public enum class CatalogEvent(override val number: Int, override val summary: String) : EventCode {
    CHANGE_STORED(1300, "This node stored a change of the configuration."),
    CHANGE_CONFLICT(
        1301,
        "A change was refused because another operator was faster; read the version and decide again.",
    ),
    CHANGE_UNKNOWN(
        1302,
        "No answer says whether a change was stored; compare its operation with the stored version's.",
    ),
    VERSION_ADOPTED(1303, "A newer version of the configuration is in force on this node."),
    LOADED(1304, "The configuration was loaded and the node may serve."),
    STORE_SILENT(1305, "The table service gives no answer to polls; configuration now comes from peers alone."),
    STORE_ANSWERS(1306, "The table service answers polls again."),
    SNAPSHOT_WRITTEN(1307, "A snapshot of the configuration was written to the object store."),
    SNAPSHOT_FAILED(1308, "A snapshot could not be written or read; the object store may be down."),
    KEYS_STALE(1309, "Keyed requests are refused: neither the store nor a majority of the nodes answers."),
    KEYS_FRESH(1310, "Keyed requests are served again."),
    SPREAD_INCOMPLETE(
        1311,
        "A stored change was not confirmed by a majority of the nodes in time; see the operators' page.",
    ),
    KEY_WITHDRAWN(1312, "A key was withdrawn and is refused on this node."),
}
