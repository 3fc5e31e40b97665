package org.persimmonrelay.standin

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.delay
import org.persimmonrelay.platform.StoreUnavailable
import org.persimmonrelay.platform.UsageReports
import kotlin.time.Duration

/** One report that the stand-in took. */
public data class ReceivedUsageReport(val window: String, val epoch: Long, val body: String)

/** An in-memory usage interface that keeps every report it was sent, repeated ones included. */
public class StandInUsageReports(public val faults: Faults = Faults()) : UsageReports {
    private val reports = mutableListOf<ReceivedUsageReport>()

    /** Every report so far, in the order of arrival. */
    public val received: List<ReceivedUsageReport>
        get() = synchronized(reports) { reports.toList() }

    /** Windows that were reported with different figures. */
    public val conflictingWindows: Set<String>
        get() = received.groupBy { it.window }.filterValues { all -> all.distinctBy { it.body }.size > 1 }.keys

    override suspend fun report(window: String, epoch: Long, body: String): Either<StoreUnavailable, Unit> {
        if (faults.delay > Duration.ZERO) delay(faults.delay)
        if (faults.down) return StoreUnavailable("The usage interface is down; try again later.").left()
        synchronized(reports) { reports += ReceivedUsageReport(window, epoch, body) }
        if (faults.takeLostAnswer()) return StoreUnavailable("The answer was lost; send the same report again.").left()
        return Unit.right()
    }
}
