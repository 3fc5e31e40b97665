package org.persimmonrelay.peer

import io.grpc.HandlerRegistry
import io.grpc.Metadata
import io.grpc.ServerCall
import io.grpc.ServerCallHandler
import io.grpc.ServerMethodDefinition
import io.grpc.Status
import io.grpc.StatusRuntimeException
import io.grpc.stub.ServerCallStreamObserver
import io.grpc.stub.ServerCalls
import io.grpc.stub.StreamObserver
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with
import java.util.concurrent.ConcurrentHashMap

/** Registry of the methods that this node serves. A call runs as a coroutine, cancelled when the caller cancels. */
internal class PeerHandlers(
    private val scope: CoroutineScope,
    private val descriptors: PeerDescriptors,
    private val events: EventSink,
) : HandlerRegistry() {
    private val methods = ConcurrentHashMap<String, ServerMethodDefinition<*, *>>()

    fun <Q : Any, A : Any> add(method: PeerMethod<Q, A>, handler: suspend (Q) -> A) {
        val descriptor = descriptors.of(method)
        val call = ServerCalls.asyncUnaryCall<Q, A> { request, observer -> run(method, handler, request, observer) }
        methods[descriptor.fullMethodName] = ServerMethodDefinition.create(descriptor, call)
    }

    override fun lookupMethod(methodName: String, authority: String?): ServerMethodDefinition<*, *>? =
        methods[methodName]

    private fun <Q : Any, A : Any> run(
        method: PeerMethod<Q, A>,
        handler: suspend (Q) -> A,
        request: Q,
        observer: StreamObserver<A>,
    ) {
        val call = observer as ServerCallStreamObserver<A>
        val job = scope.launch(start = kotlinx.coroutines.CoroutineStart.LAZY) {
            respond(method, handler, request, call)
        }
        call.setOnCancelHandler { job.cancel() }
        job.start()
    }

    @Suppress("TooGenericExceptionCaught")
    private suspend fun <Q : Any, A : Any> respond(
        method: PeerMethod<Q, A>,
        handler: suspend (Q) -> A,
        request: Q,
        call: ServerCallStreamObserver<A>,
    ) {
        try {
            call.onNext(handler(request))
            call.onCompleted()
        } catch (e: CancellationException) {
            if (!call.isCancelled) call.onError(Status.UNAVAILABLE.asRuntimeException())
            throw e
        } catch (e: StatusRuntimeException) {
            if (!call.isCancelled) throw e
        } catch (e: Exception) {
            events.record(PeerEvent.HANDLER_FAILED, "method" with method.name, "error" with e)
            call.onError(
                Status.INTERNAL.withDescription("The peer failed to handle ${method.name}.").asRuntimeException(),
            )
        }
    }
}

/** Closes [call] with [status] without passing it to its handler. */
internal fun <Q, A> refuse(call: ServerCall<Q, A>, status: Status): ServerCall.Listener<Q> {
    call.close(status, Metadata())
    return object : ServerCall.Listener<Q>() {}
}

/** The handler that an interceptor delegates to. */
internal typealias NextHandler<Q, A> = ServerCallHandler<Q, A>
