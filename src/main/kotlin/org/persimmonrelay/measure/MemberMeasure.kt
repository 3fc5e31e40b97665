package org.persimmonrelay.measure

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.Region
import org.persimmonrelay.membership.MembershipBenchmark
import org.persimmonrelay.membership.NodeDescriptor
import org.persimmonrelay.peer.PeerAddress
import kotlin.time.Duration.Companion.milliseconds

/** Heap of the membership state, and processor time of one tick of its state machine, by the number of members. */
public class MemberMeasure : Measure {
    override val name: String = "members"

    override fun run(): List<Slope> = listOf(
        Slope.fit("membership state", "heap bytes", "member", SIZES.flatMap { size -> List(REPEATS) { heap(size) } }),
        Slope.fit("membership tick", "CPU ns", "member", SIZES.flatMap { size -> List(REPEATS) { tick(size) } }),
    )

    private fun heap(size: Int): MeasurePoint {
        val places = places(size)
        val before = MemoryGauge.heapBytes()
        val copies = List(COPIES) { MembershipBenchmark(places) }
        val used = MemoryGauge.heapBytes() - before
        check(copies.all { it.members == size })
        return MeasurePoint(size.toDouble(), used.toDouble() / COPIES)
    }

    private fun tick(size: Int): MeasurePoint {
        val load = MembershipBenchmark(places(size))
        var now = Moment.ZERO
        repeat(WARM_UP_TICKS) {
            now += TICK
            load.tick(now)
        }
        val used =
            CpuGauge.ofThread {
                repeat(TICKS) {
                    now += TICK
                    load.tick(now)
                }
            }
        return MeasurePoint(size.toDouble(), used.inWholeNanoseconds.toDouble() / TICKS)
    }

    private fun places(size: Int) = List(size) {
        val name = "node-$it"
        val address =
            PeerAddress(NodeId(name), Incarnation("01J9Z3K4M5N6P7Q8R9S0T$it"), "10.1.${it % REGIONS}.$it", PORT)
        NodeDescriptor(address, FailureDomain("region-${it % REGIONS}-a"), Region("region-${it % REGIONS}"))
    }

    private companion object {
        val SIZES = listOf(7, 40, 120, 370)
        val TICK = 250.milliseconds
        const val REPEATS = 3
        const val COPIES = 50
        const val REGIONS = 8
        const val PORT = 7000
        const val WARM_UP_TICKS = 20_000
        const val TICKS = 20_000
    }
}
