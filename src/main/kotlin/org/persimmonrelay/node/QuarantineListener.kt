package org.persimmonrelay.node

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.persimmonrelay.platform.FeedResponse
import org.persimmonrelay.platform.FeedRow
import org.persimmonrelay.platform.RowListener
import org.persimmonrelay.quarantine.LedgerExchange

/** Passes each ledger of lost servers that is read from the store to [exchange], and its deletion by operators. */
internal class QuarantineListener(
    private val reader: RowReader,
    private val scope: CoroutineScope,
    private val exchange: () -> LedgerExchange,
) : RowListener {
    private var restores = 0L

    override fun onSnapshot(response: FeedResponse) {
        if (restores != 0L && response.version.restores != restores) scope.launch { exchange().storeRestored() }
        restores = response.version.restores
        passLedgers(response)
    }

    override fun onChanges(response: FeedResponse) = passLedgers(response)

    private fun passLedgers(response: FeedResponse) =
        response.rows.filter { it.key == LedgerExchange.ROW_KEY }.forEach(::pass)

    /** Only a row that was removed is passed as null; a malformed one is no deletion. */
    private fun pass(row: FeedRow) {
        val value = if (row.value == null) null else reader.ownValue(row).orEmpty()
        scope.launch { exchange().received(value) }
    }
}
