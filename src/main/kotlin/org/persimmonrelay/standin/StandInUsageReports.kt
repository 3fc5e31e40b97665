package org.persimmonrelay.standin

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.delay
import org.persimmonrelay.platform.StoreUnavailable
import org.persimmonrelay.platform.UsageReports
import kotlin.time.Duration

/** A usage report that the stand-in received. */
public data class ReceivedUsageReport(val window: String, val epoch: Long, val body: String)

/** An in-memory usage interface that records every report, including repeated ones. */
public class StandInUsageReports(public val faults: Faults = Faults()) : UsageReports {
    private val reports = mutableListOf<ReceivedUsageReport>()

    /** All reports, in the order of arrival. */
    public val received: List<ReceivedUsageReport>
        get() = synchronized(reports) { reports.toList() }

    /** Windows for which reports with different bodies were received. */
    public val conflictingWindows: Set<String>
        get() = received.groupBy { it.window }.filterValues { all -> all.distinctBy { it.body }.size > 1 }.keys

    override suspend fun report(window: String, epoch: Long, body: String): Either<StoreUnavailable, Unit> {
        if (faults.delay > Duration.ZERO) delay(faults.delay)
        if (faults.down) return StoreUnavailable("The usage interface is down; try again later.").left()
        synchronized(reports) { reports += ReceivedUsageReport(window, epoch, body) }
        if (faults.takeLostResponse()) {
            return StoreUnavailable("The answer was lost; send the same report again.").left()
        }
        return Unit.right()
    }
}
