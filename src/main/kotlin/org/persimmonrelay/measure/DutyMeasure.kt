package org.persimmonrelay.measure

/** Load that leases and idempotency claims put on the table, and processor time of leases on a node. */
public class DutyMeasure : Measure {
    override val name: String = "duties"

    override fun run(): List<Slope> = leases() + claims()

    private fun leases(): List<Slope> {
        val costs = LeaseMeasure.cost()
        return listOf(
            slope("leases, table reads", "rows/s of all nodes", "duty", costs, { it.duties }) { it.readsPerSecond },
            slope("leases, table writes", "rows/s of all nodes", "duty", costs, { it.duties }) { it.writesPerSecond },
            slope("leases, processor", "µs/s of one node", "node", costs, { it.nodes }) {
                it.processorMicrosPerNodeSecond
            },
        )
    }

    private fun claims(): List<Slope> {
        val costs = IdempotencyMeasure.cost()
        return listOf(
            slope("claims, rows written", "rows/s", "call/s", costs, { it.claimsPerSecond }) {
                it.rowsWrittenPerSecond
            },
            slope("claims, transactions", "transactions/s", "call/s", costs, { it.claimsPerSecond }) {
                it.transactionsPerSecond
            },
        )
    }

    private fun <T> slope(name: String, what: String, per: String, costs: List<T>, x: (T) -> Int, y: (T) -> Double) =
        Slope.fit(name, what, per, costs.map { MeasurePoint(x(it).toDouble(), y(it)) })
}
