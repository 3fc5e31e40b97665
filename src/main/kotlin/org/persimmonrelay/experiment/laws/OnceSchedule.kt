package org.persimmonrelay.experiment.laws

import kotlinx.coroutines.launch
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.WorkspaceId
import org.persimmonrelay.once.CallOutcome
import org.persimmonrelay.once.ClaimerLiveness
import org.persimmonrelay.once.IdempotencyClaim
import org.persimmonrelay.once.IdempotencyManager
import org.persimmonrelay.once.IdempotentResult
import org.persimmonrelay.once.RecordedResponse
import org.persimmonrelay.once.TableIdempotencyManager
import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.outcome.Refusal
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** Whether the two laws on idempotent calls held in one schedule. */
internal data class OnceResult(val ranAtMostOnce: Boolean, val notRunWasTrue: Boolean)

/** One schedule: callers send the same keys to several nodes and retry calls that got no response. */
internal class OnceSchedule(seed: Long) {
    private val world = VirtualWorld(seed, PROCESSES, FaultKind.entries - FaultKind.RECEIVER_CRASH)
    private val callers = Random(seed + 2)
    private val nodes = arrayOfNulls<IdempotencyManager>(PROCESSES)
    private val service = CountingService()

    fun runOurs(): OnceResult = run { index, process ->
        TableIdempotencyManager(
            table = world.reliableTable(process),
            scope = process.scope,
            clock = process.clock,
            node = NodeId("node-$index"),
            incarnation = Incarnation(process.name),
            liveness = ClaimerLiveness(::isAlive),
            newOperation = world::newOperation,
        ).apply { start() }
    }

    fun runNaive(): OnceResult = run { _, process ->
        NaiveOnce(VirtualTable(world.network, process, world.table), world)
    }

    private fun run(newNode: (Int, VirtualProcess) -> IdempotencyManager): OnceResult {
        repeat(KEYS) { key ->
            repeat(CALLERS_PER_KEY) {
                world.time.after(CALLS_WITHIN * callers.nextDouble()) { attempt("key-$key", MAX_RETRIES) }
            }
        }
        world.run(SETTLE) { index, process -> nodes[index] = newNode(index, process) }
        return OnceResult(service.ranAtMostOnce, service.notRunWasTrue)
    }

    private fun isAlive(node: NodeId, incarnation: Incarnation): Boolean {
        val process = world.running[node.value.removePrefix("node-").toInt()]
        return process.name == incarnation.value && !process.killed
    }

    private fun attempt(key: String, retriesLeft: Int) {
        val index = callers.nextInt(PROCESSES)
        val process = world.running[index]
        val attempt = service.newAttempt(key)
        var completed = false
        process.scope.launch {
            val claim = IdempotencyClaim(WorkspaceId("w"), key, "digest")
            val result = nodes[index]?.run(claim) { call(process, attempt) } ?: return@launch
            completed = true
            if (service.recordResult(attempt, result)) retry(key, retriesLeft)
        }
        world.time.after(CALLER_TIMEOUT) { if (!completed) retry(key, retriesLeft) }
    }

    private fun retry(key: String, retriesLeft: Int) {
        if (retriesLeft > 0) world.time.after(MAX_RETRY_DELAY * callers.nextDouble()) { attempt(key, retriesLeft - 1) }
    }

    private suspend fun call(process: VirtualProcess, attempt: Attempt): CallOutcome {
        if (callers.nextInt(NOT_SENT_ONE_IN) == 0) return CallOutcome.NotSent("No connection.")
        val response = world.network.call(process, Target.RECEIVER, SERVICE_TIMEOUT) { service.execute(attempt) }
        return response?.let { CallOutcome.Answered(it) } ?: CallOutcome.Unknown("The service did not respond.")
    }

    private companion object {
        const val PROCESSES = 3
        const val KEYS = 5
        const val CALLERS_PER_KEY = 2
        const val MAX_RETRIES = 4
        const val NOT_SENT_ONE_IN = 10
        val CALLS_WITHIN = 50.seconds
        val CALLER_TIMEOUT = 15.seconds
        val MAX_RETRY_DELAY = 3.seconds
        val SERVICE_TIMEOUT = 3.seconds
        val SETTLE = 40.seconds
    }
}

/** One attempt of a caller to make the call with [key]. */
internal class Attempt(val key: String, val number: Int) {
    var executed = false
    var refusedAsNotRun = false
}

/** A service that counts its runs by key. A duplicate of one attempt made by the network does not count as a run. */
internal class CountingService {
    private var attempts = 0
    private val runs = mutableMapOf<String, Int>()
    private var wrongResponses = 0
    private var falseRefusals = 0

    val ranAtMostOnce: Boolean
        get() = runs.values.all { it <= 1 } && wrongResponses == 0

    val notRunWasTrue: Boolean
        get() = falseRefusals == 0

    fun newAttempt(key: String): Attempt = Attempt(key, attempts++)

    fun execute(attempt: Attempt): RecordedResponse {
        if (!attempt.executed) runs.merge(attempt.key, 1, Int::plus)
        attempt.executed = true
        if (attempt.refusedAsNotRun) falseRefusals++
        return RecordedResponse(STATUS_CREATED, emptyList(), attempt.key)
    }

    /** Records the result of [attempt]; true when the caller may retry. */
    fun recordResult(attempt: Attempt, result: IdempotentResult): Boolean = when (result) {
        is IdempotentResult.Executed -> checkResponse(attempt, result.response)
        is IdempotentResult.Replayed -> checkResponse(attempt, result.response)
        is IdempotentResult.Refused -> checkRefusal(attempt, result.refusal)
    }

    private fun checkResponse(attempt: Attempt, response: RecordedResponse): Boolean {
        if (response.body != attempt.key || runs[attempt.key] == null) wrongResponses++
        return false
    }

    private fun checkRefusal(attempt: Attempt, refusal: Refusal): Boolean {
        if (refusal !is Refusal.NotRun) return false
        attempt.refusedAsNotRun = true
        if (attempt.executed) falseRefusals++
        return refusal.reason != NotRunReason.IDEMPOTENCY_KEY_REUSED
    }

    private companion object {
        const val STATUS_CREATED = 201
    }
}
