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

/** The network between simulated nodes in virtual time, with delayed, lost and duplicated messages. */
internal class VirtualPeers(private val time: VirtualTime, private val random: Random) {
    private val endpoints = mutableMapOf<PeerAddress, Endpoint>()
    private val cutUntil = mutableMapOf<Set<NodeId>, Moment>()

    /** Share of calls that are delivered twice, from 0 to 1. */
    var duplicateShare: Double = 0.0

    /** Upper limit of the random delay that is added to each message. */
    var extraDelay: Duration = Duration.ZERO

    /** Creates the network endpoint of [process] at [address]. */
    fun endpoint(address: PeerAddress, process: VirtualProcess): PeerNetwork =
        Endpoint(address, process).also { endpoints[address] = it }

    /** Drops all messages between [one] and [other] for [duration]. */
    fun cut(one: NodeId, other: NodeId, duration: Duration) {
        cutUntil[setOf(one, other)] = time.now + duration
    }

    private fun isCut(one: NodeId, other: NodeId) = cutUntil[setOf(one, other)].let { it != null && it > time.now }

    private fun latency(): Duration = MIN_LATENCY + MAX_JITTER * random.nextDouble() + extraDelay * random.nextDouble()

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
            val respond = { result: Either<PeerFailure, A> ->
                if (continuation.isActive) continuation.resume(result)
            }
            time.after(timeout) { respond(PeerFailure.TimedOut("No response.").left()) }
            deliver(to, method.name, request) { respond((it as A).right()) }
            if (random.nextDouble() < duplicateShare) deliver(to, method.name, request) {}
        }

        private fun deliver(to: PeerAddress, method: String, request: Any, respond: (Any) -> Unit) {
            if (isCut(address.node, to.node)) return
            time.after(latency()) {
                val receiver = endpoints[to]?.takeUnless { it.process.killed } ?: return@after
                receiver.process.scope.launch {
                    val value = receiver.handlers.getValue(method)(request)
                    if (!isCut(address.node, to.node)) time.after(latency()) { respond(value) }
                }
            }
        }
    }

    private companion object {
        val MIN_LATENCY = 1.milliseconds
        val MAX_JITTER = 20.milliseconds
    }
}
