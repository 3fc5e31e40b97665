package org.persimmonrelay.platform

import kotlinx.serialization.Serializable

/**
 * Store version of the newest change that a node has read of each followed table, as of the store's content after
 * [restores] restores; 0 before the first.
 */
@Serializable
public data class NewestChanges(
    val configuration: Long = 0,
    val backendServers: Long = 0,
    val quarantine: Long = 0,
    val restores: Long = 0,
) {
    /** The newest change of [table]. */
    public fun of(table: FeedTable): StoreVersion = StoreVersion(
        restores,
        when (table) {
            FeedTable.CONFIGURATION -> configuration
            FeedTable.BACKEND_SERVERS -> backendServers
            FeedTable.QUARANTINE -> quarantine
        },
    )

    public companion object {
        /** [newest] gives the newest change of each table; those from before the latest restore are left out. */
        public fun of(newest: (FeedTable) -> StoreVersion): NewestChanges {
            val changes = FeedTable.entries.associateWith(newest)
            val restores = changes.values.maxOf { it.restores }
            val versions = changes.mapValues { (_, change) ->
                change.version.takeIf { change.restores == restores } ?: 0
            }
            return NewestChanges(
                configuration = versions.getValue(FeedTable.CONFIGURATION),
                backendServers = versions.getValue(FeedTable.BACKEND_SERVERS),
                quarantine = versions.getValue(FeedTable.QUARANTINE),
                restores = restores,
            )
        }
    }
}
