package org.persimmonrelay.membership

import org.persimmonrelay.clock.Moment
import kotlin.random.Random

/** The membership state of one node for benchmarks. All of [nodes] are alive; the first one is the node itself. */
public class MembershipBenchmark(nodes: List<NodeDescriptor>) {
    private val records =
        nodes.map { MemberRecord(it.address, it.domain, it.region, generation = 1, serial = 0, MemberState.ALIVE) }
    private val machine = SwimStateMachine(records.first(), SwimSettings(), Random(1), Moment.ZERO)
    private val view: MembershipView

    init {
        machine.handle(SwimEvent.RecordsReceived(records.drop(1), bulk = true), Moment.ZERO)
        view = machine.view
    }

    public val members: Int get() = view.members.size

    /** Runs one tick of the state machine; every probe succeeds at once. */
    public fun tick(now: Moment) {
        val actions = machine.handle(SwimEvent.Tick, now)
        actions.filterIsInstance<SwimAction.Ping>().forEach { machine.handle(SwimEvent.ProbeSucceeded(it.probe), now) }
    }
}
