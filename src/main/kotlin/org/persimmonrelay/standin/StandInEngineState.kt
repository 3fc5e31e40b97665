package org.persimmonrelay.standin

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.engine.EngineCommand
import org.persimmonrelay.engine.EngineCommandResult
import org.persimmonrelay.engine.EngineLoadReport
import org.persimmonrelay.engine.EngineRole
import kotlin.time.Duration

/** An order that a stand-in engine carried out, and when it was taken. */
public data class ObeyedOrder(val order: EngineCommand, val at: Moment)

/** Role and models of a stand-in engine, and the orders that changed them. */
internal class StandInEngineState(private val settings: StandInEngineSettings) {
    private val log = mutableListOf<ObeyedOrder>()
    private var role = settings.role
    private var models = settings.models
    private var newestEpoch = 0L
    private var changeEnds = Moment(Long.MIN_VALUE)

    @Synchronized
    fun obeyed(): List<ObeyedOrder> = log.toList()

    @Synchronized
    fun role(): EngineRole = role

    @Synchronized
    fun models(): List<String> = models

    @Synchronized
    fun isChanging(now: Moment): Boolean = now < changeEnds

    @Synchronized
    fun order(order: EngineCommand, now: Moment): EngineCommandResult {
        val last = log.lastOrNull()?.order
        return when {
            settings.checksFencing && order.epoch < newestEpoch -> EngineCommandResult.Fenced(newestEpoch)
            log.any { it.order.operation == order.operation } -> EngineCommandResult.Accepted
            last != null && now < changeEnds -> EngineCommandResult.Busy(last.operation)
            else -> obey(order, now)
        }
    }

    private fun obey(order: EngineCommand, now: Moment): EngineCommandResult {
        newestEpoch = maxOf(newestEpoch, order.epoch)
        changeEnds = now + settings.changeTime
        log += ObeyedOrder(order, now)
        when (order) {
            is EngineCommand.ChangeRole -> role = order.role
            is EngineCommand.LoadModel -> models = (models + listOfNotNull(order.model, order.adapter)).distinct()
        }
        return EngineCommandResult.Accepted
    }
}

/** Gives each report out only once it is old enough. */
internal class LaggedReports(private val lag: Duration) {
    private val kept = ArrayDeque<Pair<Moment, EngineLoadReport>>()
    private var sequence = 0L

    @Synchronized
    fun nextSequence(): Long = ++sequence

    /** Keeps [fresh] and returns the newest report that is as old as the lag, or the oldest there is. */
    @Synchronized
    fun exchange(fresh: EngineLoadReport, now: Moment): EngineLoadReport {
        kept.addLast(now to fresh)
        while (kept.size > 1 && kept[1].first + lag <= now) kept.removeFirst()
        return kept.first().second
    }
}
