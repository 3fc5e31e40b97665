package org.persimmonrelay.load

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import kotlinx.coroutines.CompletableDeferred
import org.persimmonrelay.http.EventLoopThread
import org.persimmonrelay.http.ServerAddress
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with
import java.net.InetSocketAddress

/** Sends and receives UDP datagrams at [local]. Input and output run on [thread]. */
public class UdpLoadReportTransport(
    private val thread: EventLoopThread,
    private val local: ServerAddress,
    private val events: EventSink,
) : LoadReportTransport {
    private var channel: Channel? = null

    /**
     * Binds the address and passes each datagram that arrives to [receive]. Returns the port, or null when the address
     * can't be bound, which is logged.
     */
    public suspend fun start(receive: (ByteArray) -> Unit): Int? {
        val bound = CompletableDeferred<Channel?>()
        Bootstrap().group(thread.loop).channel(NioDatagramChannel::class.java).handler(Receiver(receive))
            .bind(local.host, local.port).addListener { done ->
                if (!done.isSuccess) recordBindFailure(done.cause())
                bound.complete((done as ChannelFuture).channel().takeIf { done.isSuccess })
            }
        channel = bound.await()
        return (channel?.localAddress() as? InetSocketAddress)?.port
    }

    override fun send(address: ServerAddress, bytes: ByteArray) {
        val open = channel?.takeIf { it.isActive && it.isWritable } ?: return
        val to = InetSocketAddress(address.host, address.port)
        open.writeAndFlush(DatagramPacket(Unpooled.wrappedBuffer(bytes), to))
    }

    private fun recordBindFailure(cause: Throwable?) =
        events.record(LoadEvent.ADDRESS_UNUSABLE, "address" with local, "why" with cause?.message)

    private class Receiver(private val receive: (ByteArray) -> Unit) : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(context: ChannelHandlerContext, packet: DatagramPacket) =
            receive(ByteBufUtil.getBytes(packet.content()))

        /** A closed port at one peer causes an error at this socket that does not concern other peers. */
        @Deprecated("The base class declares it so.")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) = Unit
    }
}
