package org.persimmonrelay.experiment.laws

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.launch
import kotlinx.coroutines.suspendCancellableCoroutine
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.peer.PeerAddress
import org.persimmonrelay.peer.PeerFailure
import org.persimmonrelay.peer.PeerMethod
import org.persimmonrelay.peer.PeerNetwork
import kotlin.coroutines.resume
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The network between modelled nodes: late, cut and doubled messages in virtual time. */
internal class VirtualPeers(private val time: VirtualTime, private val random: Random) {
    private val endpoints = mutableMapOf<PeerAddress, Endpoint>()
    private val cutUntil = mutableMapOf<Set<NodeId>, Moment>()

    /** Share of calls that arrive twice. */
    var duplicateShare: Double = 0.0

    /** Time that each message may take longer. */
    var extraDelay: Duration = Duration.ZERO

    /** The network as [process] at [address] sees it. */
    fun endpoint(address: PeerAddress, process: VirtualProcess): PeerNetwork =
        Endpoint(address, process).also { endpoints[address] = it }

    /** No message passes between [one] and [other] for [duration]. */
    fun cut(one: NodeId, other: NodeId, duration: Duration) {
        cutUntil[setOf(one, other)] = time.now + duration
    }

    private fun isCut(one: NodeId, other: NodeId) = cutUntil[setOf(one, other)].let { it != null && it > time.now }

    private fun latency(): Duration = MIN_LATENCY + SPREAD * random.nextDouble() + extraDelay * random.nextDouble()

    private inner class Endpoint(private val address: PeerAddress, private val process: VirtualProcess) : PeerNetwork {
        private val handlers = mutableMapOf<String, suspend (Any) -> Any>()

        @Suppress("UNCHECKED_CAST")
        override fun <Q : Any, A : Any> serve(method: PeerMethod<Q, A>, handler: suspend (Q) -> A) {
            handlers[method.name] = { handler(it as Q) }
        }

        @Suppress("UNCHECKED_CAST")
        override suspend fun <Q : Any, A : Any> call(
            to: PeerAddress,
            method: PeerMethod<Q, A>,
            request: Q,
            timeout: Duration,
        ): Either<PeerFailure, A> = suspendCancellableCoroutine { continuation ->
            val answer = { result: Either<PeerFailure, A> ->
                if (continuation.isActive) continuation.resume(result)
            }
            time.after(timeout) { answer(PeerFailure.TimedOut("No answer.").left()) }
            deliver(to, method.name, request) { answer((it as A).right()) }
            if (random.nextDouble() < duplicateShare) deliver(to, method.name, request) {}
        }

        private fun deliver(to: PeerAddress, method: String, request: Any, answer: (Any) -> Unit) {
            if (isCut(address.node, to.node)) return
            time.after(latency()) {
                val receiver = endpoints[to]?.takeUnless { it.process.killed } ?: return@after
                receiver.process.scope.launch {
                    val value = receiver.handlers.getValue(method)(request)
                    if (!isCut(address.node, to.node)) time.after(latency()) { answer(value) }
                }
            }
        }
    }

    private companion object {
        val MIN_LATENCY = 1.milliseconds
        val SPREAD = 20.milliseconds
    }
}
