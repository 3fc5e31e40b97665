package org.persimmonrelay.node

import org.persimmonrelay.platform.FeedResponse
import org.persimmonrelay.platform.FeedRow
import org.persimmonrelay.platform.RowListener
import org.persimmonrelay.route.ActiveRouteTable

/** Offers each configuration that is read to [tables]. */
internal class ConfigurationListener(private val reader: RowReader, private val tables: ActiveRouteTable) :
    RowListener {
    override fun onSnapshot(response: FeedResponse) = take(response)

    override fun onChanges(response: FeedResponse) {
        if (response.rows.isEmpty()) tables.confirm(response.sentAt) else take(response)
    }

    private fun take(response: FeedResponse) = response.rows.forEach { offer(it, response) }

    private fun offer(row: FeedRow, response: FeedResponse) {
        reader.routeTable(row)?.let { tables.offer(it, response.sentAt) }
    }
}
