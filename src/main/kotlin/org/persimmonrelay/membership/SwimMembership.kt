package org.persimmonrelay.membership

import arrow.core.Either
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.Region
import org.persimmonrelay.peer.PeerAddress
import org.persimmonrelay.peer.PeerNetwork
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Who a node is and where it stands. */
public data class NodeDescriptor(val address: PeerAddress, val domain: FailureDomain, val region: Region)

/**
 * Membership by SWIM over the peer network. [join] first; then [view] follows the system until [leave].
 *
 * All state is touched on [control] only, which must be one thread.
 */
public class SwimMembership(
    private val self: NodeDescriptor,
    private val network: PeerNetwork,
    private val seeds: SeedRepository,
    private val clock: Clock,
    private val random: Random,
    private val events: EventSink,
    private val control: CoroutineDispatcher,
    private val settings: SwimSettings = SwimSettings(),
) : Membership {
    @Volatile
    private var machine = SwimMachine(ownRecord(generation = 0), settings, random, clock.now())
    private val published = MutableStateFlow(machine.view)
    private var publishedVersion = -1L
    private lateinit var scope: CoroutineScope

    /** Grows with each start under this node's name; 0 before [join]. */
    public val generation: Long get() = machine.self.generation

    override val view: StateFlow<MembershipView> = published

    init {
        network.serve(SwimMethods.PING) { ping -> onControl { answer(ping) } }
        network.serve(SwimMethods.PING_REQUEST) { PingReport(pingFor(it.target)) }
        network.serve(SwimMethods.COMPARE) { comparison -> onControl { differences(comparison) } }
        network.serve(SwimMethods.CORRECT) { correction ->
            onControl { handle(SwimEvent.Heard(correction.records, bulk = true)) }
            Taken(correction.records.size)
        }
    }

    /**
     * Enters the system: waits for the table, takes a generation, and returns once another member answered
     * or none of the seeds did. The periodic work runs in [scope] until that is cancelled.
     */
    public suspend fun join(scope: CoroutineScope) {
        this.scope = scope
        val generation = enterSeeds()
        onControl {
            machine = SwimMachine(ownRecord(generation), settings, random, clock.now())
            publish()
        }
        readSeeds()
        events.record(MembershipEvent.JOINED, "members" with view.value.members.size, "generation" with generation)
        scope.launch(control) { tickForever() }
    }

    /** Tells the others that this node leaves; to be called when it stops taking new work. */
    override suspend fun leave(): Unit = onControl { handle(SwimEvent.Leave) }

    /** Tells the others that this node's work is done, and notes it in the table. */
    public suspend fun completeLeave() {
        val farewell =
            onControl {
                handle(SwimEvent.Left)
                view.value.peers.filter { it.region == self.region }.shuffled(random).take(FAREWELLS)
            }
        farewell.forEach { exchangePing(it.address, FAREWELL_TIMEOUT) }
        seeds.leave(self.address, self.region)
    }

    private suspend fun enterSeeds(): Long {
        while (true) {
            seeds.enter(self.address, self.region).onRight { return it }
                .onLeft { events.record(MembershipEvent.SEEDS_UNAVAILABLE, "error" with it.message) }
            delay(RETRY_PERIOD)
        }
    }

    private suspend fun tickForever() {
        while (true) {
            handle(SwimEvent.Tick)
            delay(settings.tick)
        }
    }

    private fun handle(event: SwimEvent) {
        val actions = machine.on(event, clock.now())
        publish()
        actions.forEach(::carryOut)
    }

    private fun publish() {
        if (machine.version == publishedVersion) return
        publishedVersion = machine.version
        published.value = machine.view
    }

    private fun carryOut(action: SwimAction) {
        when (action) {
            is SwimAction.Record -> events.record(action.event, *action.fields.toTypedArray())
            is SwimAction.Ping -> launchProbe(action.probe) { exchangePing(action.target, settings.probeTimeout) }
            is SwimAction.PingThrough -> launchProbe(action.probe) { pingThrough(action) }
            is SwimAction.Compare -> launch { compare(action) }
            is SwimAction.ReadSeeds -> launch { readSeeds() }
            is SwimAction.ConfirmName -> launch { confirmName(action.heard) }
        }
    }

    private fun launchProbe(probe: Long, way: suspend () -> Boolean) = launch {
        val answered = way()
        handle(if (answered) SwimEvent.Answered(probe) else SwimEvent.Unanswered(probe))
    }

    private fun launch(work: suspend () -> Unit) {
        scope.launch(control) { work() }
    }

    private fun answer(ping: Ping): Ack {
        handle(SwimEvent.Heard(ping.updates))
        return Ack(machine.updatesFor(ping.from))
    }

    private suspend fun exchangePing(target: PeerAddress, timeout: Duration): Boolean {
        val ping = onControl { Ping(self.address.node, machine.updatesFor(target.node)) }
        val answer = network.call(target, SwimMethods.PING, ping, timeout)
        answer.onRight { ack -> onControl { handle(SwimEvent.Heard(ack.updates)) } }
        return answer.isRight()
    }

    private suspend fun pingFor(target: PeerAddress): Boolean = exchangePing(target, settings.probeTimeout)

    private suspend fun pingThrough(action: SwimAction.PingThrough): Boolean {
        val request = PingRequest(action.target)
        val report = network.call(action.helper, SwimMethods.PING_REQUEST, request, settings.probeTimeout * 2)
        return report.fold({ false }, { it.answered })
    }

    private suspend fun compare(action: SwimAction.Compare) {
        val answered = compareWith(action.target)
        onControl { handle(SwimEvent.Compared(action.region, answered)) }
    }

    /** Takes over what [target] knows better and corrects what it knows worse. */
    private suspend fun compareWith(target: PeerAddress): Boolean {
        val comparison = onControl { Comparison(machine.hashes().map { RegionHash(it.key, it.value) }) }
        val answer = network.call(target, SwimMethods.COMPARE, comparison, COMPARE_TIMEOUT)
        val differences = (answer as? Either.Right)?.value ?: return false
        val correction =
            onControl {
                handle(SwimEvent.Heard(differences.records, bulk = true))
                val own = machine.hashes()
                differences.hashes.filter { own[it.region] != it.hash }.flatMap { machine.recordsOf(it.region) }
            }
        if (correction.isNotEmpty()) network.call(target, SwimMethods.CORRECT, Correction(correction), COMPARE_TIMEOUT)
        return true
    }

    private fun differences(comparison: Comparison): Differences {
        val theirs = comparison.hashes.associate { it.region to it.hash }
        val own = machine.hashes()
        val differing = (theirs.keys + own.keys).filter { theirs[it] != own[it] }
        return Differences(
            differing.flatMap(machine::recordsOf),
            differing.map { RegionHash(it, own[it] ?: 0) },
        )
    }

    private suspend fun readSeeds() {
        val sample =
            seeds.sample(self.region).fold(
                { failure ->
                    events.record(MembershipEvent.SEEDS_UNAVAILABLE, "error" with failure.message)
                    emptyList()
                },
                { it },
            )
        val others = sample.filter { it.address.node != self.address.node }
        others.shuffled(random).take(SEED_CONTACTS).forEach { compareWith(it.address) }
    }

    private suspend fun confirmName(heard: Long) {
        val renewed = seeds.renew(self.address, self.region, heard)
        val generation = (renewed as? Either.Right ?: return).value
        onControl { handle(if (generation == null) SwimEvent.NameLost else SwimEvent.NameConfirmed(generation)) }
    }

    private suspend fun <T> onControl(work: () -> T): T = withContext(control) { work() }

    private fun ownRecord(generation: Long) =
        MemberRecord(self.address, self.domain, self.region, generation, serial = 0, MemberState.ALIVE)

    private companion object {
        val RETRY_PERIOD = 1.seconds
        val COMPARE_TIMEOUT = 2.seconds
        val FAREWELL_TIMEOUT = 1.seconds
        const val FAREWELLS = 3
        const val SEED_CONTACTS = 4
    }
}
