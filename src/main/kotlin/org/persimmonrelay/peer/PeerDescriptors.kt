package org.persimmonrelay.peer

import io.grpc.MethodDescriptor
import java.util.concurrent.ConcurrentHashMap

/** Creates and caches the gRPC descriptors of [PeerMethod]s. */
internal class PeerDescriptors(private val traffic: PeerTraffic) {
    private val descriptors = ConcurrentHashMap<String, MethodDescriptor<*, *>>()

    @Suppress("UNCHECKED_CAST")
    fun <Q : Any, A : Any> of(method: PeerMethod<Q, A>): MethodDescriptor<Q, A> =
        descriptors.computeIfAbsent(method.name) { describe(method) } as MethodDescriptor<Q, A>

    private fun <Q : Any, A : Any> describe(method: PeerMethod<Q, A>): MethodDescriptor<Q, A> {
        val count = traffic.counter(method.name)
        return MethodDescriptor.newBuilder<Q, A>()
            .setType(MethodDescriptor.MethodType.UNARY)
            .setFullMethodName(MethodDescriptor.generateFullMethodName(SERVICE, method.name))
            .setRequestMarshaller(MessageMarshaller(method.request, count))
            .setResponseMarshaller(MessageMarshaller(method.response, count))
            .build()
    }

    private companion object {
        const val SERVICE = "pr"
    }
}
