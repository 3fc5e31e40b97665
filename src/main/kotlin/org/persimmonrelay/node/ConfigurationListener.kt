package org.persimmonrelay.node

import org.persimmonrelay.platform.FeedAnswer
import org.persimmonrelay.platform.FeedRow
import org.persimmonrelay.platform.RowListener
import org.persimmonrelay.route.ActiveRouteTable

/** Passes each route table read from the store to [tables]; an empty change confirms the table in force. */
internal class ConfigurationListener(private val reader: RowReader, private val tables: ActiveRouteTable) :
    RowListener {
    override fun replaced(answer: FeedAnswer) = offerAll(answer)

    override fun changed(answer: FeedAnswer) {
        if (answer.rows.isEmpty()) tables.confirm(answer.sentAt) else offerAll(answer)
    }

    private fun offerAll(answer: FeedAnswer) = answer.rows.forEach { offer(it, answer) }

    private fun offer(row: FeedRow, answer: FeedAnswer) {
        reader.routeTable(row)?.let { tables.offer(it, answer.sentAt) }
    }
}
