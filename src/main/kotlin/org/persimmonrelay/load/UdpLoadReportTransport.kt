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

/** Datagrams over UDP at [local], whose input and output run on [thread]. */
public class UdpLoadReportTransport(
    private val thread: EventLoopThread,
    private val local: ServerAddress,
    private val events: EventSink,
) : LoadReportTransport {
    private var channel: Channel? = null

    /** Binds, and hands what arrives to [receive]; the port taken, or null when the address can't be bound. */
    public suspend fun start(receive: (ByteArray) -> Unit): Int? {
        val bound = CompletableDeferred<Channel?>()
        Bootstrap().group(thread.loop).channel(NioDatagramChannel::class.java).handler(Receiver(receive))
            .bind(local.host, local.port).addListener { done ->
                if (!done.isSuccess) reportUnbound(done.cause())
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

    private fun reportUnbound(cause: Throwable?) =
        events.record(LoadEvent.ADDRESS_UNUSABLE, "address" with local, "why" with cause?.message)

    private class Receiver(private val receive: (ByteArray) -> Unit) : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(context: ChannelHandlerContext, packet: DatagramPacket) =
            receive(ByteBufUtil.getBytes(packet.content()))

        /** A peer's closed port comes back as an error of the socket, which says nothing of other peers. */
        @Deprecated("The base class declares it so.")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) = Unit
    }
}
