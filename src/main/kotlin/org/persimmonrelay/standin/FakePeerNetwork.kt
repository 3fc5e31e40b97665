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

/** Network interface of one node at a [FakePeerHub]. Messages are encoded as in production. */
@OptIn(ExperimentalSerializationApi::class)
public class FakePeerNetwork internal constructor(private val hub: FakePeerHub, public val address: PeerAddress) :
    PeerNetwork {
    private val handlers = HashMap<String, suspend (ByteArray) -> ByteArray>()
    private var resumeSignal: CompletableDeferred<Unit>? = null

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

    /** Simulates a crash: peers can't connect to the node, and its own messages are lost. */
    public fun stop() {
        stopped = true
    }

    /** Delays every message to and from this node until [resume]. The node's own code keeps running. */
    public fun pause() {
        if (resumeSignal == null) resumeSignal = CompletableDeferred()
    }

    /** Delivers the messages that were delayed since [pause]. */
    public fun resume() {
        resumeSignal?.complete(Unit)
        resumeSignal = null
    }

    override suspend fun <Q : Any, A : Any> call(
        to: PeerAddress,
        method: PeerMethod<Q, A>,
        request: Q,
        timeout: Duration,
    ): Either<PeerFailure, A> {
        val encodedRequest = encode(method.request, request)
        calls.merge(method.name, 1, Long::plus)
        val response = CompletableDeferred<Either<PeerFailure, ByteArray>>()
        send(to, method.name, encodedRequest, response)
        if (hub.isDuplicated()) send(to, method.name, encodedRequest, CompletableDeferred())
        val received =
            withTimeoutOrNull(timeout) { response.await() }
                ?: PeerFailure.TimedOut("${to.node} did not respond to ${method.name} within $timeout.").left()
        return received.map { decode(method.response, it) }
    }

    private fun send(
        to: PeerAddress,
        method: String,
        request: ByteArray,
        response: CompletableDeferred<Either<PeerFailure, ByteArray>>,
    ) {
        hub.scope.launch {
            count(method, request)
            if (!awaitDelivery(to)) return@launch
            val target = hub.node(to.node)
            if (target == null) {
                response.complete(PeerFailure.Unreachable("Node ${to.node} is not running.").left())
                return@launch
            }
            val result = target.handle(to, method, request)
            result.onRight { target.count(method, it) }
            if (target.awaitDelivery(address)) {
                result.onRight { count(null, it) }
                response.complete(result)
            }
        }
    }

    private suspend fun awaitDelivery(to: PeerAddress): Boolean {
        resumeSignal?.await()
        if (hub.isLost()) return false
        delay(hub.drawLatency())
        return !stopped && hub.connected(address.node, to.node)
    }

    private suspend fun handle(to: PeerAddress, method: String, request: ByteArray): Either<PeerFailure, ByteArray> {
        resumeSignal?.await()
        count(null, request)
        if (to.incarnation != address.incarnation) {
            return PeerFailure.Rejected("${address.node} is ${address.incarnation}, not ${to.incarnation}.").left()
        }
        val handler = handlers[method]
            ?: return PeerFailure.Rejected("${address.node} has no handler for $method.").left()
        return runHandler(handler, request)
    }

    @Suppress("TooGenericExceptionCaught")
    private suspend fun runHandler(
        handler: suspend (ByteArray) -> ByteArray,
        request: ByteArray,
    ): Either<PeerFailure, ByteArray> = try {
        handler(request).right()
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        PeerFailure.Rejected("Handler on ${address.node} failed: ${e.message}").left()
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
