package org.persimmonrelay.catalog

import org.persimmonrelay.timeline.EventCode

/** Events about the configuration of a node. */
public enum class CatalogEvent(override val number: Int, override val summary: String) : EventCode {
    CHANGE_STORED(1300, "This node stored a configuration change."),
    CHANGE_CONFLICT(
        1301,
        "A change was rejected because another change was stored first; read the current version and retry.",
    ),
    CHANGE_UNKNOWN(
        1302,
        "It is unknown whether a change was stored; compare its operation id with that of the stored version.",
    ),
    VERSION_ADOPTED(1303, "This node now uses a newer version of the configuration."),
    LOADED(1304, "The configuration is loaded and the node may serve requests."),
    STORE_SILENT(1305, "The table service does not answer polls; configuration changes now come only from peers."),
    STORE_ANSWERS(1306, "The table service answers polls again."),
    SNAPSHOT_WRITTEN(1307, "A snapshot of the configuration was written to the object store."),
    SNAPSHOT_FAILED(1308, "A snapshot could not be written or read; the object store may be down."),
    KEYS_STALE(1309, "Requests with a key are rejected: neither the table service nor a majority of nodes answers."),
    KEYS_FRESH(1310, "Requests with a key are served again."),
    SPREAD_INCOMPLETE(
        1311,
        "A stored change was not confirmed by a majority of the nodes in time; see the documentation for operators.",
    ),
    KEY_WITHDRAWN(1312, "A key was withdrawn; this node rejects requests with it."),
}
