package org.persimmonrelay.membership

import org.persimmonrelay.clock.Moment
import kotlin.random.Random

/** One node's membership state with all of [places] alive, driven by hand, for measures. The first place is its own. */
public class MembershipBenchmark(places: List<NodeDescriptor>) {
    private val records =
        places.map { MemberRecord(it.address, it.domain, it.region, generation = 1, serial = 0, MemberState.ALIVE) }
    private val machine = SwimMachine(records.first(), SwimSettings(), Random(1), Moment.ZERO)
    private val view: MembershipView

    init {
        machine.on(SwimEvent.Heard(records.drop(1), bulk = true), Moment.ZERO)
        view = machine.view
    }

    public val members: Int get() = view.members.size

    /** One turn of the state machine; every probe is answered at once. */
    public fun tick(now: Moment) {
        val actions = machine.on(SwimEvent.Tick, now)
        actions.filterIsInstance<SwimAction.Ping>().forEach { machine.on(SwimEvent.Answered(it.probe), now) }
    }
}
