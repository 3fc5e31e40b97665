package org.persimmonrelay.peer

import arrow.core.Either
import arrow.core.left
import io.grpc.CallOptions
import io.grpc.ClientCall
import io.grpc.Metadata
import io.grpc.Server
import io.grpc.netty.NettyServerBuilder
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.suspendCancellableCoroutine
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.settings.PeerSettings
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.HybridClock
import org.persimmonrelay.timeline.HybridTimestamp
import org.persimmonrelay.timeline.with
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * [PeerNetwork] over gRPC: unary calls with protobuf messages, and mutual TLS if configured.
 *
 * Register all methods with [serve], then call [start]. [close] ends running calls at once.
 *
 * @throws IllegalArgumentException when TLS is not configured and the address is not a loopback address, or when a
 *   PEM file can't be read.
 */
public class GrpcPeerNetwork(
    private val node: NodeId,
    private val incarnation: Incarnation,
    private val settings: PeerSettings,
    private val clock: Clock,
    private val events: EventSink = EventSink.NONE,
    private val hybridClock: HybridClock = HybridClock(),
) : PeerNetwork,
    AutoCloseable {
    init {
        PeerTls.requireTlsUnlessLoopback(settings)
    }

    /** Messages and bytes sent and received since the start. */
    public val traffic: PeerTraffic = PeerTraffic()

    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val group = NioEventLoopGroup(EVENT_LOOP_THREADS)
    private val descriptors = PeerDescriptors(traffic)
    private val handlers = PeerHandlers(scope, descriptors, events)
    private val channels = PeerChannels(settings.tls?.let(PeerTls::clientContext), group)
    private var server: Server? = null

    /** Open connections to peers. */
    public val connections: Int get() = channels.size

    /** Starts to listen and returns the address for peers. With port 0 in the settings, a free port is chosen. */
    public fun start(): PeerAddress {
        val builder =
            NettyServerBuilder.forAddress(InetSocketAddress(settings.host, settings.port))
                .channelType(NioServerSocketChannel::class.java)
                .bossEventLoopGroup(group)
                .workerEventLoopGroup(group)
                .directExecutor()
                .fallbackHandlerRegistry(handlers)
                .intercept(PeerCallInterceptor(incarnation, settings.tls != null, clock, hybridClock, events))
                .maxInboundMessageSize(PeerChannels.MAX_MESSAGE_BYTES)
                .permitKeepAliveTime(PeerChannels.KEEPALIVE_SECONDS / 2, TimeUnit.SECONDS)
                .permitKeepAliveWithoutCalls(true)
        settings.tls?.let { builder.sslContext(PeerTls.serverContext(it)) }
        val started = builder.build().start()
        server = started
        events.record(PeerEvent.LISTENING, "host" with settings.host, "port" with started.port)
        return PeerAddress(node, incarnation, settings.host, started.port)
    }

    override fun <Q : Any, A : Any> serve(method: PeerMethod<Q, A>, handler: suspend (Q) -> A) {
        handlers.add(method, handler)
    }

    override suspend fun <Q : Any, A : Any> call(
        to: PeerAddress,
        method: PeerMethod<Q, A>,
        request: Q,
        timeout: Duration,
    ): Either<PeerFailure, A> {
        if (settings.tls == null && !PeerTls.isLoopback(to.host)) {
            return PeerFailure.Unreachable("${to.host} is not a loopback address; set peer.tls to call it.").left()
        }
        val started = clock.now()
        val channel = channels.channelTo(to.host, to.port, started)
        val response = exchange(channel, to, method, request, timeout)
        if (response.leftOrNull() is PeerFailure.TimedOut) replaceIfStalled(to, channel, started)
        return response
    }

    override fun close() {
        server?.shutdownNow()
        channels.close()
        scope.cancel()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    private fun replaceIfStalled(to: PeerAddress, channel: PeerChannel, since: Moment) {
        if (!channels.replaceIfStalled(to.host, to.port, channel, since)) return
        events.record(PeerEvent.CHANNEL_REPLACED, "peer" with to.node, "host" with to.host, "port" with to.port)
    }

    private suspend fun <Q : Any, A : Any> exchange(
        channel: PeerChannel,
        to: PeerAddress,
        method: PeerMethod<Q, A>,
        request: Q,
        timeout: Duration,
    ): Either<PeerFailure, A> = suspendCancellableCoroutine { continuation ->
        val sentTracer = RequestSentTracer()
        val options =
            CallOptions.DEFAULT
                .withDeadlineAfter(timeout.inWholeNanoseconds, TimeUnit.NANOSECONDS)
                .withStreamTracerFactory(sentTracer)
        val call = channel.channel.newCall(descriptors.of(method), options)
        continuation.invokeOnCancellation { call.cancel("The caller no longer waits.", null) }
        val listener =
            ResponseListener<A>(to, sentTracer, { onHeaders(channel, it) }) { continuation.resume(it) { _, _, _ -> } }
        call.start(listener, headersFor(to))
        send(call, request) { continuation.isCancelled }
    }

    /** A call that is cancelled on another thread meanwhile throws [IllegalStateException], which is ignored. */
    private fun <Q : Any> send(call: ClientCall<Q, *>, request: Q, isCancelled: () -> Boolean) {
        try {
            call.request(2)
            call.sendMessage(request)
            call.halfClose()
        } catch (e: IllegalStateException) {
            if (!isCancelled()) throw e
        }
    }

    private fun headersFor(to: PeerAddress) = Metadata().apply {
        put(PeerHeaders.SENDER, node.value)
        put(PeerHeaders.TARGET_INCARNATION, to.incarnation.value)
        put(PeerHeaders.CLOCK, hybridClock.tick(clock.wallMillis()).encode())
    }

    private fun onHeaders(channel: PeerChannel, headers: Metadata) {
        channel.lastResponse = clock.now()
        headers[PeerHeaders.CLOCK]?.let(HybridTimestamp::parse)?.let { hybridClock.observe(it, clock.wallMillis()) }
    }

    private companion object {
        const val EVENT_LOOP_THREADS = 2
    }
}
