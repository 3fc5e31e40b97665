package org.persimmonrelay.experiment.laws

import kotlinx.coroutines.delay
import kotlinx.coroutines.suspendCancellableCoroutine
import org.persimmonrelay.clock.Moment
import kotlin.coroutines.resume
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Where a message goes. */
internal enum class Target { STORE, RECEIVER, PEER }

/**
 * The network between processes, the store and the receivers of orders, with the faults of the moment.
 *
 * What has left a process arrives within [MESSAGE_LIFETIME] or never, as the lease terms assume.
 */
internal class VirtualNetwork(private val time: VirtualTime, private val random: Random) {
    var lossShare: Double = 0.0
    var duplicateShare: Double = 0.0
    var extraDelay: Duration = Duration.ZERO
    var storeDown: Boolean = false
    var lostStoreAnswers: Int = 0

    /** Called when a process has decided to send to a receiver, before anything has left it. */
    var beforeSend: (VirtualProcess) -> Unit = {}

    private val cuts = mutableListOf<Cut>()

    private class Cut(val process: VirtualProcess, val target: Target, val until: Moment)

    fun cut(process: VirtualProcess, target: Target, duration: Duration) {
        cuts += Cut(process, target, time.now + duration)
    }

    /** True while [process] can't reach [target]. */
    fun isCut(process: VirtualProcess, target: Target): Boolean =
        cuts.any { it.process === process && it.target == target && it.until > time.now }

    /**
     * Carries a request of [from] to [target], where [effect] happens, and its answer back. Gives null when
     * no answer comes within [timeout]; an effect without a value gives no answer.
     */
    suspend fun <T : Any> call(from: VirtualProcess, target: Target, timeout: Duration, effect: () -> T?): T? {
        if (target == Target.RECEIVER) beforeSend(from)
        if (target != Target.STORE) delay(1.milliseconds)
        return suspendCancellableCoroutine { continuation ->
            val answer = { value: T? -> if (continuation.isActive) continuation.resume(value) }
            time.after(timeout) { answer(null) }
            deliver(from, target, timeout, effect, answer)
            if (random.nextDouble() < duplicateShare) {
                time.after(latency(timeout)) { deliver(from, target, timeout, effect) {} }
            }
        }
    }

    private fun <T : Any> deliver(
        from: VirtualProcess,
        target: Target,
        timeout: Duration,
        effect: () -> T?,
        answer: (T?) -> Unit,
    ) {
        if (isLost(from, target)) return
        time.after(latency(timeout)) {
            if (target == Target.STORE && storeDown) return@after
            val value = effect() ?: return@after
            val lost = isLost(from, target) || target == Target.STORE && takeLostStoreAnswer()
            if (!lost) time.after(latency(timeout)) { answer(value) }
        }
    }

    private fun isLost(from: VirtualProcess, target: Target): Boolean = random.nextDouble() < lossShare ||
        cuts.any { it.process === from && it.target == target && it.until > time.now }

    private fun takeLostStoreAnswer(): Boolean {
        if (lostStoreAnswers == 0) return false
        lostStoreAnswers--
        return true
    }

    private fun latency(timeout: Duration): Duration {
        val late = if (extraDelay.isPositive()) extraDelay * random.nextDouble() else Duration.ZERO
        return minOf(MIN_LATENCY + SPREAD * random.nextDouble() + late, minOf(MESSAGE_LIFETIME, timeout * 2) / 2)
    }

    private companion object {
        val MIN_LATENCY = 1.milliseconds
        val SPREAD = 10.milliseconds
        val MESSAGE_LIFETIME = 4.seconds
    }
}
