package org.persimmonrelay.measure

import kotlinx.coroutines.runBlocking
import kotlinx.serialization.Serializable
import org.persimmonrelay.clock.SystemClock
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.peer.GrpcPeerNetwork
import org.persimmonrelay.peer.PeerAddress
import org.persimmonrelay.peer.PeerMethod
import org.persimmonrelay.settings.PeerSettings
import java.io.File
import kotlin.time.Duration.Companion.seconds

/**
 * Calls over real loopback connections, by message size: processor time of both ends, and bytes written to the
 * sockets. The intercepts are the cost of one call and its framing, without TLS and TCP headers.
 */
public class PeerCallMeasure : Measure {
    override val name: String = "peer-call"

    private val echo = PeerMethod("measure-echo", Payload.serializer(), Payload.serializer())

    override fun run(): List<Slope> {
        val server = network("measure-server")
        val client = network("measure-client")
        server.serve(echo) { it }
        val address = server.start()
        client.start()
        repeat(WARM_UP_ROUNDS) { SIZES.forEach { size -> runCalls(client, address, size) } }
        val readings = SIZES.flatMap { size -> List(REPEATS) { reading(client, address, size) } }
        client.close()
        server.close()
        return listOf(
            Slope.fit("peer call CPU, both ends", "CPU us", "message byte", readings.map { it.first }),
            Slope.fit("peer call wire bytes, both ways", "bytes", "message byte", readings.map { it.second }),
        )
    }

    private fun reading(client: GrpcPeerNetwork, address: PeerAddress, size: Int): Pair<MeasurePoint, MeasurePoint> {
        val written = writtenBytes()
        val used = CpuGauge.ofProcess { runCalls(client, address, size) }
        val bytes = writtenBytes() - written
        return MeasurePoint(size.toDouble(), used.inWholeNanoseconds / NANOS_PER_MICRO / CALLS) to
            MeasurePoint(size.toDouble(), bytes.toDouble() / CALLS)
    }

    private fun runCalls(client: GrpcPeerNetwork, address: PeerAddress, size: Int) = runBlocking {
        val payload = Payload(ByteArray(size))
        repeat(CALLS) {
            val response = client.call(address, echo, payload, CALL_TIMEOUT)
            check(response.isRight()) { "A call over loopback failed: $response" }
        }
    }

    /** Bytes that this process has written to files and sockets, as counted by the kernel. */
    private fun writtenBytes(): Long =
        File("/proc/self/io").readLines().first { it.startsWith("wchar:") }.substringAfter(':').trim().toLong()

    private fun network(name: String) =
        GrpcPeerNetwork(NodeId(name), Incarnation(name), PeerSettings("127.0.0.1", 0), SystemClock)

    @Serializable
    private class Payload(val bytes: ByteArray)

    private companion object {
        val SIZES = listOf(64, 512, 2_048, 8_192)
        val CALL_TIMEOUT = 10.seconds
        const val REPEATS = 3
        const val WARM_UP_ROUNDS = 2
        const val CALLS = 2_000
        const val NANOS_PER_MICRO = 1_000.0
    }
}
