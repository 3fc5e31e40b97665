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
 * The inner protocol over gRPC: unary calls, protobuf messages, mutual TLS when the settings give it.
 *
 * Add all methods with [serve], then [start]; [close] ends running calls at once.
 *
 * @throws IllegalArgumentException when TLS is absent and the address is not a loopback one, or when a PEM
 *   file can't be read.
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
        PeerTls.requireSafe(settings)
    }

    /** What was carried so far. */
    public val traffic: PeerTraffic = PeerTraffic()

    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val group = NioEventLoopGroup(EVENT_LOOP_THREADS)
    private val descriptors = PeerDescriptors(traffic)
    private val handlers = PeerHandlers(scope, descriptors, events)
    private val channels = PeerChannels(settings.tls?.let(PeerTls::clientContext), group)
    private var server: Server? = null

    /** Open connections to peers. */
    public val connections: Int get() = channels.size

    /** Listens, and returns the address that peers use; a port of 0 in the settings becomes the one taken. */
    public fun start(): PeerAddress {
        val builder =
            NettyServerBuilder.forAddress(InetSocketAddress(settings.host, settings.port))
                .channelType(NioServerSocketChannel::class.java)
                .bossEventLoopGroup(group)
                .workerEventLoopGroup(group)
                .directExecutor()
                .fallbackHandlerRegistry(handlers)
                .intercept(PeerGuard(incarnation, settings.tls != null, clock, hybridClock, events))
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
        val answer = exchange(channel, to, method, request, timeout)
        if (answer.leftOrNull() is PeerFailure.TimedOut) replaceIfSilent(to, channel, started)
        return answer
    }

    override fun close() {
        server?.shutdownNow()
        channels.close()
        scope.cancel()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    private fun replaceIfSilent(to: PeerAddress, channel: PeerChannel, since: Moment) {
        if (!channels.replaceIfSilent(to.host, to.port, channel, since)) return
        events.record(PeerEvent.CHANNEL_REPLACED, "peer" with to.node, "host" with to.host, "port" with to.port)
    }

    private suspend fun <Q : Any, A : Any> exchange(
        channel: PeerChannel,
        to: PeerAddress,
        method: PeerMethod<Q, A>,
        request: Q,
        timeout: Duration,
    ): Either<PeerFailure, A> = suspendCancellableCoroutine { waiting ->
        val departure = Departure()
        val options =
            CallOptions.DEFAULT
                .withDeadlineAfter(timeout.inWholeNanoseconds, TimeUnit.NANOSECONDS)
                .withStreamTracerFactory(departure)
        val call = channel.channel.newCall(descriptors.of(method), options)
        waiting.invokeOnCancellation { call.cancel("The caller no longer waits.", null) }
        val listener =
            AnswerListener<A>(to, departure, { onHeaders(channel, it) }) { waiting.resume(it) { _, _, _ -> } }
        call.start(listener, headersFor(to))
        send(call, request) { waiting.isCancelled }
    }

    /** The caller may give up on another thread meanwhile; the call then takes nothing more. */
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
        put(PeerHeaders.MEANT, to.incarnation.value)
        put(PeerHeaders.CLOCK, hybridClock.tick(clock.wallMillis()).encode())
    }

    private fun onHeaders(channel: PeerChannel, headers: Metadata) {
        channel.lastAnswer = clock.now()
        headers[PeerHeaders.CLOCK]?.let(HybridTimestamp::parse)?.let { hybridClock.observe(it, clock.wallMillis()) }
    }

    private companion object {
        const val EVENT_LOOP_THREADS = 2
    }
}
