package org.persimmonrelay.forward

import org.persimmonrelay.backend.ServiceDemand
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.route.ServiceId
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with
import java.util.Locale
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Logs the work that this node's callers ask of each service, every [PERIOD]. Not thread-safe. */
internal class DemandLog(private val events: EventSink) {
    private var before: Map<ServiceId, ServiceDemand> = emptyMap()
    private var loggedAt: Moment? = null

    /** [totals] are the demand since the start, at [now]. */
    fun observe(totals: List<ServiceDemand>, now: Moment) {
        val since = loggedAt
        if (since != null && now - since < PERIOD) return
        if (since != null) totals.forEach { record(it, now - since) }
        before = totals.associateBy { it.service }
        loggedAt = now
    }

    private fun record(total: ServiceDemand, elapsed: Duration) {
        val earlier = before[total.service] ?: ServiceDemand(total.service)
        if (total.requests == earlier.requests) return
        val millis = elapsed.toDouble(DurationUnit.MILLISECONDS)
        events.record(
            ForwardEvent.SERVICE_DEMAND,
            "service" with total.service,
            "millis" with elapsed.inWholeMilliseconds,
            "requests" with total.requests - earlier.requests,
            "refused" with total.refused - earlier.refused,
            "prefillEngines" with rounded((total.prefillMillis - earlier.prefillMillis) / millis),
            "slots" with rounded((total.slotMillis - earlier.slotMillis) / millis),
        )
    }

    private fun rounded(value: Double): String = "%.3f".format(Locale.ROOT, value)

    private companion object {
        val PERIOD: Duration = 5.seconds
    }
}
