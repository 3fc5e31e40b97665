package org.persimmonrelay.standin

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.protobuf.ProtoBuf
import org.persimmonrelay.peer.PeerAddress
import org.persimmonrelay.peer.PeerFailure
import org.persimmonrelay.peer.PeerMethod
import org.persimmonrelay.peer.PeerNetwork
import kotlin.time.Duration

/** One node's end of a [FakePeerHub]. Messages are encoded as in production. */
@OptIn(ExperimentalSerializationApi::class)
public class FakePeerNetwork internal constructor(private val hub: FakePeerHub, public val address: PeerAddress) :
    PeerNetwork {
    private val handlers = HashMap<String, suspend (ByteArray) -> ByteArray>()
    private var resumed: CompletableDeferred<Unit>? = null

    internal var stopped = false
        private set

    /** Calls that this node has sent, by method name. */
    public val calls: MutableMap<String, Long> = sortedMapOf()

    /** Bytes of the messages that this node has sent and received, without framing. */
    public var bytes: Long = 0
        private set

    /** Messages that this node has sent and received. */
    public var messages: Long = 0
        private set

    override fun <Q : Any, A : Any> serve(method: PeerMethod<Q, A>, handler: suspend (Q) -> A) {
        handlers[method.name] = { encode(method.response, handler(decode(method.request, it))) }
    }

    /** Kills the node: peers find nothing at its address, and its own calls go nowhere. */
    public fun stop() {
        stopped = true
    }

    /** Holds every message to and from this node until [resume]. The node's own code is not held. */
    public fun pause() {
        if (resumed == null) resumed = CompletableDeferred()
    }

    /** Delivers what was held since [pause]. */
    public fun resume() {
        resumed?.complete(Unit)
        resumed = null
    }

    override suspend fun <Q : Any, A : Any> call(
        to: PeerAddress,
        method: PeerMethod<Q, A>,
        request: Q,
        timeout: Duration,
    ): Either<PeerFailure, A> {
        val sent = encode(method.request, request)
        calls.merge(method.name, 1, Long::plus)
        val answer = CompletableDeferred<Either<PeerFailure, ByteArray>>()
        send(to, method.name, sent, answer)
        if (hub.isDuplicated()) send(to, method.name, sent, CompletableDeferred())
        val received =
            withTimeoutOrNull(timeout) { answer.await() }
                ?: PeerFailure.TimedOut("${to.node} gave no answer to ${method.name} in $timeout.").left()
        return received.map { decode(method.response, it) }
    }

    private fun send(
        to: PeerAddress,
        method: String,
        request: ByteArray,
        answer: CompletableDeferred<Either<PeerFailure, ByteArray>>,
    ) {
        hub.scope.launch {
            count(method, request)
            if (!travels(to)) return@launch
            val target = hub.node(to.node)
            if (target == null) {
                answer.complete(PeerFailure.Unreachable("Nothing listens at ${to.node}.").left())
                return@launch
            }
            val result = target.handle(to, method, request)
            result.onRight { target.count(method, it) }
            if (target.travels(address)) {
                result.onRight { count(null, it) }
                answer.complete(result)
            }
        }
    }

    private suspend fun travels(to: PeerAddress): Boolean {
        resumed?.await()
        if (hub.isLost()) return false
        delay(hub.travelTime())
        return !stopped && hub.connected(address.node, to.node)
    }

    private suspend fun handle(
        meant: PeerAddress,
        method: String,
        request: ByteArray,
    ): Either<PeerFailure, ByteArray> {
        resumed?.await()
        count(null, request)
        if (meant.incarnation != address.incarnation) {
            return PeerFailure.Rejected("${address.node} is ${address.incarnation}, not ${meant.incarnation}.").left()
        }
        val handler = handlers[method] ?: return PeerFailure.Rejected("${address.node} serves no $method.").left()
        return answerOf(handler, request)
    }

    @Suppress("TooGenericExceptionCaught")
    private suspend fun answerOf(
        handler: suspend (ByteArray) -> ByteArray,
        request: ByteArray,
    ): Either<PeerFailure, ByteArray> = try {
        handler(request).right()
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        PeerFailure.Rejected("${address.node} failed: ${e.message}").left()
    }

    private fun count(method: String?, message: ByteArray) {
        bytes += message.size
        messages++
        if (method != null) hub.count(method, message.size)
    }

    private fun <T : Any> encode(serializer: KSerializer<T>, value: T) = ProtoBuf.encodeToByteArray(serializer, value)

    private fun <T : Any> decode(serializer: KSerializer<T>, bytes: ByteArray) =
        ProtoBuf.decodeFromByteArray(serializer, bytes)
}
