package org.persimmonrelay.experiment.laws

import kotlinx.coroutines.delay
import kotlinx.coroutines.suspendCancellableCoroutine
import org.persimmonrelay.clock.Moment
import kotlin.coroutines.resume
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Recipients of messages. */
internal enum class Target { STORE, RECEIVER, PEER }

/**
 * The network between processes, the store and the receivers of orders, with the faults that are active.
 *
 * A message arrives within [MESSAGE_LIFETIME] after it was sent, or never, as the lease terms assume.
 */
internal class VirtualNetwork(private val time: VirtualTime, private val random: Random) {
    var lossShare: Double = 0.0
    var duplicateShare: Double = 0.0
    var extraDelay: Duration = Duration.ZERO
    var storeDown: Boolean = false
    var lostStoreResponses: Int = 0

    /** Called when a process is about to send to a receiver, after its checks and before the message leaves. */
    var beforeSend: (VirtualProcess) -> Unit = {}

    private val cuts = mutableListOf<Cut>()

    private class Cut(val process: VirtualProcess, val target: Target, val until: Moment)

    fun cut(process: VirtualProcess, target: Target, duration: Duration) {
        cuts += Cut(process, target, time.now + duration)
    }

    /** True while [process] cannot reach [target]. */
    fun isCut(process: VirtualProcess, target: Target): Boolean =
        cuts.any { it.process === process && it.target == target && it.until > time.now }

    /**
     * Sends a request of [from] to [target], which runs [effect] and responds with its value. Returns null when no
     * response arrives within [timeout]. When [effect] returns null, [target] sends no response.
     */
    suspend fun <T : Any> call(from: VirtualProcess, target: Target, timeout: Duration, effect: () -> T?): T? {
        if (target == Target.RECEIVER) beforeSend(from)
        if (target != Target.STORE) delay(1.milliseconds)
        return suspendCancellableCoroutine { continuation ->
            val respond = { value: T? -> if (continuation.isActive) continuation.resume(value) }
            time.after(timeout) { respond(null) }
            deliver(from, target, timeout, effect, respond)
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
        respond: (T?) -> Unit,
    ) {
        if (isLost(from, target)) return
        time.after(latency(timeout)) {
            if (target == Target.STORE && storeDown) return@after
            val value = effect() ?: return@after
            val lost = isLost(from, target) || target == Target.STORE && loseStoreResponse()
            if (!lost) time.after(latency(timeout)) { respond(value) }
        }
    }

    private fun isLost(from: VirtualProcess, target: Target): Boolean = random.nextDouble() < lossShare ||
        cuts.any { it.process === from && it.target == target && it.until > time.now }

    private fun loseStoreResponse(): Boolean {
        if (lostStoreResponses == 0) return false
        lostStoreResponses--
        return true
    }

    private fun latency(timeout: Duration): Duration {
        val faultDelay = if (extraDelay.isPositive()) extraDelay * random.nextDouble() else Duration.ZERO
        return minOf(MIN_LATENCY + JITTER * random.nextDouble() + faultDelay, minOf(MESSAGE_LIFETIME, timeout * 2) / 2)
    }

    private companion object {
        val MIN_LATENCY = 1.milliseconds
        val JITTER = 10.milliseconds
        val MESSAGE_LIFETIME = 4.seconds
    }
}
