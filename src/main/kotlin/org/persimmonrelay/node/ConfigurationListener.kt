package org.persimmonrelay.node

import org.persimmonrelay.platform.FeedResponse
import org.persimmonrelay.platform.FeedRow
import org.persimmonrelay.platform.RowListener
import org.persimmonrelay.route.ActiveRouteTable

/** Passes each route table read from the store to [tables]; an empty change confirms the table in force. */
internal class ConfigurationListener(private val reader: RowReader, private val tables: ActiveRouteTable) :
    RowListener {
    override fun onSnapshot(response: FeedResponse) = offerAll(response)

    override fun onChanges(response: FeedResponse) {
        if (response.rows.isEmpty()) tables.confirm(response.sentAt) else offerAll(response)
    }

    private fun offerAll(response: FeedResponse) = response.rows.forEach { offer(it, response) }

    private fun offer(row: FeedRow, response: FeedResponse) {
        reader.routeTable(row)?.let { tables.offer(it, response.sentAt, response.newestChange) }
    }
}
