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

/** What one schedule showed. */
internal data class OnceFindings(val ranAtMostOnce: Boolean, val notRunWasTrue: Boolean)

/** One schedule: callers that send the same keys to several nodes and repeat what was not answered. */
internal class OnceSchedule(seed: Long) {
    private val world = VirtualWorld(seed, PROCESSES, FaultKind.entries - FaultKind.RECEIVER_CRASH)
    private val callers = Random(seed + 2)
    private val nodes = arrayOfNulls<IdempotencyManager>(PROCESSES)
    private val service = CountingService()

    fun runOurs(): OnceFindings = run { place, process ->
        TableIdempotencyManager(
            table = world.reliable(process),
            scope = process.scope,
            clock = process.clock,
            node = NodeId("node-$place"),
            incarnation = Incarnation(process.name),
            liveness = ClaimerLiveness(::isAlive),
            newOperation = world::newOperation,
        ).apply { start() }
    }

    fun runNaive(): OnceFindings = run { _, process ->
        NaiveOnce(VirtualTable(world.network, process, world.table), world)
    }

    private fun run(newNode: (Int, VirtualProcess) -> IdempotencyManager): OnceFindings {
        repeat(KEYS) { key ->
            repeat(CALLERS_PER_KEY) {
                world.time.after(CALLS_WITHIN * callers.nextDouble()) { attempt("key-$key", MAX_ATTEMPTS) }
            }
        }
        world.run(SETTLE) { place, process -> nodes[place] = newNode(place, process) }
        return OnceFindings(service.ranAtMostOnce, service.notRunWasTrue)
    }

    private fun isAlive(node: NodeId, incarnation: Incarnation): Boolean {
        val process = world.running[node.value.removePrefix("node-").toInt()]
        return process.name == incarnation.value && !process.killed
    }

    private fun attempt(key: String, left: Int) {
        val place = callers.nextInt(PROCESSES)
        val process = world.running[place]
        val attempt = service.newAttempt(key)
        var answered = false
        process.scope.launch {
            val claim = IdempotencyClaim(WorkspaceId("w"), key, "digest")
            val answer = nodes[place]?.run(claim) { call(process, attempt) } ?: return@launch
            answered = true
            if (service.judge(attempt, answer)) again(key, left)
        }
        world.time.after(CALLER_TIMEOUT) { if (!answered) again(key, left) }
    }

    private fun again(key: String, left: Int) {
        if (left > 0) world.time.after(CALLER_PAUSE * callers.nextDouble()) { attempt(key, left - 1) }
    }

    private suspend fun call(process: VirtualProcess, attempt: Attempt): CallOutcome {
        if (callers.nextInt(UNSENT_ONE_IN) == 0) return CallOutcome.NotSent("No connection.")
        val answer = world.network.call(process, Target.RECEIVER, SERVICE_TIMEOUT) { service.execute(attempt) }
        return answer?.let { CallOutcome.Answered(it) } ?: CallOutcome.Unknown("The service did not answer.")
    }

    private companion object {
        const val PROCESSES = 3
        const val KEYS = 5
        const val CALLERS_PER_KEY = 2
        const val MAX_ATTEMPTS = 4
        const val UNSENT_ONE_IN = 10
        val CALLS_WITHIN = 50.seconds
        val CALLER_TIMEOUT = 15.seconds
        val CALLER_PAUSE = 3.seconds
        val SERVICE_TIMEOUT = 3.seconds
        val SETTLE = 40.seconds
    }
}

/** One send of a caller. */
internal class Attempt(val key: String, val number: Int) {
    var executed = false
    var refusedAsNotRun = false
}

/** The plain service: counts its runs. A transport-level duplicate of one send is no second run. */
internal class CountingService {
    private var attempts = 0
    private val runs = mutableMapOf<String, Int>()
    private var wrongAnswers = 0
    private var falseRefusals = 0

    val ranAtMostOnce: Boolean
        get() = runs.values.all { it <= 1 } && wrongAnswers == 0

    val notRunWasTrue: Boolean
        get() = falseRefusals == 0

    fun newAttempt(key: String): Attempt = Attempt(key, attempts++)

    fun execute(attempt: Attempt): RecordedResponse {
        if (!attempt.executed) runs.merge(attempt.key, 1, Int::plus)
        attempt.executed = true
        if (attempt.refusedAsNotRun) falseRefusals++
        return RecordedResponse(STATUS_CREATED, emptyList(), attempt.key)
    }

    /** Notes [answer]; true when the caller may try again. */
    fun judge(attempt: Attempt, answer: IdempotentResult): Boolean = when (answer) {
        is IdempotentResult.Executed -> wrong(attempt, answer.response)
        is IdempotentResult.Replayed -> wrong(attempt, answer.response)
        is IdempotentResult.Refused -> refused(attempt, answer.refusal)
    }

    private fun wrong(attempt: Attempt, answer: RecordedResponse): Boolean {
        if (answer.body != attempt.key || runs[attempt.key] == null) wrongAnswers++
        return false
    }

    private fun refused(attempt: Attempt, refusal: Refusal): Boolean {
        if (refusal !is Refusal.NotRun) return false
        attempt.refusedAsNotRun = true
        if (attempt.executed) falseRefusals++
        return refusal.reason != NotRunReason.IDEMPOTENCY_KEY_REUSED
    }

    private companion object {
        const val STATUS_CREATED = 201
    }
}
