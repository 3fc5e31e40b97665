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

/** Address, failure domain and region of a node. */
public data class NodeDescriptor(val address: PeerAddress, val domain: FailureDomain, val region: Region)

/**
 * [Membership] by the SWIM protocol over the peer network. Call [join] first; [view] is kept up to date from then on.
 * To stop, call [leave] and, when the node's work is done, [completeLeave].
 *
 * All state is confined to [control], which must be a single thread.
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
    private var machine = SwimStateMachine(ownRecord(generation = 0), settings, random, clock.now())
    private val published = MutableStateFlow(machine.view)
    private var publishedVersion = -1L
    private lateinit var scope: CoroutineScope

    /** Number that increases with each start of a process under this node's name; 0 before [join]. */
    public val generation: Long get() = machine.self.generation

    override val view: StateFlow<MembershipView> = published

    init {
        network.serve(SwimMethods.PING) { ping -> onControl { acknowledge(ping) } }
        network.serve(SwimMethods.PING_REQUEST) { PingReport(pingFor(it.target)) }
        network.serve(SwimMethods.COMPARE) { comparison -> onControl { differences(comparison) } }
        network.serve(SwimMethods.CORRECT) { correction ->
            onControl { handle(SwimEvent.RecordsReceived(correction.records, bulk = true)) }
            MergeAck(correction.records.size)
        }
    }

    /**
     * Registers this node in the table, retrying until the table answers, and exchanges member records with a few
     * seeds. Returns after these exchanges, also when no seed answered. Periodic work runs in [scope] until it is
     * cancelled.
     */
    public suspend fun join(scope: CoroutineScope) {
        this.scope = scope
        val generation = register()
        onControl {
            machine = SwimStateMachine(ownRecord(generation), settings, random, clock.now())
            publish()
        }
        readSeeds()
        events.record(MembershipEvent.JOINED, "members" with view.value.members.size, "generation" with generation)
        scope.launch(control) { runTicks() }
    }

    /** Announces that this node is leaving. To be called when it stops taking new work. */
    override suspend fun leave(): Unit = onControl { handle(SwimEvent.Leave) }

    /** Announces to a few members that this node has left, and marks its seed row as left. */
    public suspend fun completeLeave() {
        val recipients =
            onControl {
                handle(SwimEvent.LeaveCompleted)
                view.value.peers.filter { it.region == self.region }.shuffled(random).take(LEAVE_NOTICE_RECIPIENTS)
            }
        recipients.forEach { exchangePing(it.address, LEAVE_NOTICE_TIMEOUT) }
        seeds.deregister(self.address, self.region)
    }

    private suspend fun register(): Long {
        while (true) {
            seeds.register(self.address, self.region).onRight { return it }
                .onLeft { events.record(MembershipEvent.SEEDS_UNAVAILABLE, "error" with it.message) }
            delay(RETRY_PERIOD)
        }
    }

    private suspend fun runTicks() {
        while (true) {
            handle(SwimEvent.Tick)
            delay(settings.tick)
        }
    }

    private fun handle(event: SwimEvent) {
        val actions = machine.handle(event, clock.now())
        publish()
        actions.forEach(::execute)
    }

    private fun publish() {
        if (machine.version == publishedVersion) return
        publishedVersion = machine.version
        published.value = machine.view
    }

    private fun execute(action: SwimAction) {
        when (action) {
            is SwimAction.RecordEvent -> events.record(action.event, *action.fields.toTypedArray())
            is SwimAction.Ping -> launchProbe(action.probe) { exchangePing(action.target, settings.probeTimeout) }
            is SwimAction.PingVia -> launchProbe(action.probe) { pingVia(action) }
            is SwimAction.Compare -> launch { compare(action) }
            is SwimAction.ReadSeeds -> launch { readSeeds() }
            is SwimAction.ConfirmName -> launch { confirmName(action.seenGeneration) }
        }
    }

    private fun launchProbe(probe: Long, attempt: suspend () -> Boolean) = launch {
        val answered = attempt()
        handle(if (answered) SwimEvent.ProbeSucceeded(probe) else SwimEvent.ProbeAttemptFailed(probe))
    }

    private fun launch(work: suspend () -> Unit) {
        scope.launch(control) { work() }
    }

    private fun acknowledge(ping: Ping): Ack {
        handle(SwimEvent.RecordsReceived(ping.updates))
        return Ack(machine.updatesFor(ping.from))
    }

    private suspend fun exchangePing(target: PeerAddress, timeout: Duration): Boolean {
        val ping = onControl { Ping(self.address.node, machine.updatesFor(target.node)) }
        val response = network.call(target, SwimMethods.PING, ping, timeout)
        response.onRight { ack -> onControl { handle(SwimEvent.RecordsReceived(ack.updates)) } }
        return response.isRight()
    }

    private suspend fun pingFor(target: PeerAddress): Boolean = exchangePing(target, settings.probeTimeout)

    private suspend fun pingVia(action: SwimAction.PingVia): Boolean {
        val request = PingRequest(action.target)
        val report = network.call(action.helper, SwimMethods.PING_REQUEST, request, settings.probeTimeout * 2)
        return report.fold({ false }, { it.answered })
    }

    private suspend fun compare(action: SwimAction.Compare) {
        val answered = compareWith(action.target)
        onControl { handle(SwimEvent.Compared(action.region, answered)) }
    }

    /**
     * Merges newer records of [target] and sends it the records that it lacks. False when [target] did not answer.
     */
    private suspend fun compareWith(target: PeerAddress): Boolean {
        val comparison = onControl { Comparison(machine.hashes().map { RegionHash(it.key, it.value) }) }
        val response = network.call(target, SwimMethods.COMPARE, comparison, COMPARE_TIMEOUT)
        val differences = (response as? Either.Right)?.value ?: return false
        val correction =
            onControl {
                handle(SwimEvent.RecordsReceived(differences.records, bulk = true))
                val own = machine.hashes()
                differences.hashes.filter { own[it.region] != it.hash }.flatMap { machine.recordsOf(it.region) }
            }
        if (correction.isNotEmpty()) network.call(target, SwimMethods.CORRECT, Correction(correction), COMPARE_TIMEOUT)
        return true
    }

    private fun differences(comparison: Comparison): Differences {
        val peerHashes = comparison.hashes.associate { it.region to it.hash }
        val own = machine.hashes()
        val differing = (peerHashes.keys + own.keys).filter { peerHashes[it] != own[it] }
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

    private suspend fun confirmName(seenGeneration: Long) {
        val renewed = seeds.renewGeneration(self.address, self.region, seenGeneration)
        val generation = (renewed as? Either.Right ?: return).value
        onControl { handle(if (generation == null) SwimEvent.NameLost else SwimEvent.NameConfirmed(generation)) }
    }

    private suspend fun <T> onControl(work: () -> T): T = withContext(control) { work() }

    private fun ownRecord(generation: Long) =
        MemberRecord(self.address, self.domain, self.region, generation, serial = 0, MemberState.ALIVE)

    private companion object {
        val RETRY_PERIOD = 1.seconds
        val COMPARE_TIMEOUT = 2.seconds
        val LEAVE_NOTICE_TIMEOUT = 1.seconds
        const val LEAVE_NOTICE_RECIPIENTS = 3
        const val SEED_CONTACTS = 4
    }
}
