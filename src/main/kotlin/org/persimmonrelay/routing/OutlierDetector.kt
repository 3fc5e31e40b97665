package org.persimmonrelay.routing

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.ServerId
import kotlin.time.Duration.Companion.seconds

/**
 * Ejects servers after several failures in a row, for a time that doubles with each ejection.
 *
 * At most a share of the pool is ejected, and never its last server: if all servers fail, the cause is elsewhere, and
 * an empty pool could not serve any request. Not thread-safe.
 */
internal class OutlierDetector(private val settings: OutlierSettings) {
    private class Record(var failures: Int = 0, var ejections: Int = 0, var ejectedUntil: Moment? = null)

    private val records = HashMap<ServerId, Record>()
    private var pool: Set<ServerId> = emptySet()

    /** Sets the servers of the pool; the records of all others are dropped. */
    fun setPool(servers: Set<ServerId>) {
        pool = servers
        records.keys.retainAll(servers)
    }

    fun succeeded(server: ServerId) {
        val record = records[server] ?: return
        record.failures = 0
        if (record.ejectedUntil == null) records.remove(server)
    }

    fun failed(server: ServerId, now: Moment) {
        if (server !in pool) return
        val record = records.getOrPut(server) { Record() }
        record.failures++
        if (record.failures < settings.consecutiveFailures || isEjected(server, now)) return
        if (ejectedCount(now) + 1 > maxEjected()) return
        eject(record, now)
    }

    fun isEjected(server: ServerId, now: Moment): Boolean {
        if (records.isEmpty()) return false
        val until = records[server]?.ejectedUntil ?: return false
        return now < until && ejectedCount(now) <= maxEjected()
    }

    private fun eject(record: Record, now: Moment) {
        val factor = 1 shl minOf(record.ejections, MAX_DOUBLINGS)
        val seconds = minOf(settings.maxEjectSeconds, settings.ejectSeconds * factor)
        record.ejectedUntil = now + seconds.seconds
        record.ejections++
        record.failures = 0
    }

    private fun ejectedCount(now: Moment): Int = records.values.count { record ->
        record.ejectedUntil?.let { now < it } ?: false
    }

    private fun maxEjected(): Int = minOf((pool.size * settings.maxShare).toInt(), pool.size - 1)

    private companion object {
        const val MAX_DOUBLINGS = 10
    }
}
