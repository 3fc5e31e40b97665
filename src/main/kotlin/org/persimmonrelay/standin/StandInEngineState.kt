package org.persimmonrelay.standin

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.engine.EngineCommand
import org.persimmonrelay.engine.EngineCommandResult
import org.persimmonrelay.engine.EngineLoadReport
import org.persimmonrelay.engine.EngineRole
import kotlin.time.Duration

/** A command that a stand-in engine executed, and the time at which it was accepted. */
public data class ExecutedCommand(val command: EngineCommand, val acceptedAt: Moment)

/** Role and models of a stand-in engine, and the commands that changed them. */
internal class StandInEngineState(private val settings: StandInEngineSettings) {
    private val executed = mutableListOf<ExecutedCommand>()
    private var role = settings.role
    private var models = settings.models
    private var highestEpoch = 0L
    private var busyUntil = Moment(Long.MIN_VALUE)

    @Synchronized
    fun executedCommands(): List<ExecutedCommand> = executed.toList()

    @Synchronized
    fun role(): EngineRole = role

    @Synchronized
    fun models(): List<String> = models

    @Synchronized
    fun isChanging(now: Moment): Boolean = now < busyUntil

    @Synchronized
    fun execute(command: EngineCommand, now: Moment): EngineCommandResult {
        val last = executed.lastOrNull()?.command
        return when {
            settings.checksFencing && command.epoch < highestEpoch -> EngineCommandResult.Fenced(highestEpoch)
            executed.any { it.command.operation == command.operation } -> EngineCommandResult.Accepted
            last != null && now < busyUntil -> EngineCommandResult.Busy(last.operation)
            else -> accept(command, now)
        }
    }

    private fun accept(command: EngineCommand, now: Moment): EngineCommandResult {
        highestEpoch = maxOf(highestEpoch, command.epoch)
        busyUntil = now + settings.changeTime
        executed += ExecutedCommand(command, now)
        when (command) {
            is EngineCommand.ChangeRole -> role = command.role
            is EngineCommand.LoadModel -> models = (models + listOfNotNull(command.model, command.adapter)).distinct()
        }
        return EngineCommandResult.Accepted
    }
}

/** Delays load reports by [lag]. */
internal class LaggedReports(private val lag: Duration) {
    private val history = ArrayDeque<Pair<Moment, EngineLoadReport>>()
    private var sequence = 0L

    @Synchronized
    fun nextSequence(): Long = ++sequence

    /** Adds [latest] and returns the newest report at least [lag] old, or the oldest report when none is. */
    @Synchronized
    fun recordAndRead(latest: EngineLoadReport, now: Moment): EngineLoadReport {
        history.addLast(now to latest)
        while (history.size > 1 && history[1].first + lag <= now) history.removeFirst()
        return history.first().second
    }
}
