package org.persimmonrelay.backend

import org.persimmonrelay.backend.BackendServers.ENGINES
import org.persimmonrelay.backend.BackendServers.server
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.platform.StoreHealth
import org.persimmonrelay.timeline.EventSink
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class BackendDirectoryTest {
    private val directory = BackendDirectory(EventSink.NONE)
    private val a = server("a")

    @Test
    fun `a server gets no new requests once it is known to drain`() {
        directory.replaceAll(listOf(a, server("b")), storeUnavailable = false, now = Moment.ZERO)

        directory.changed(server("a", draining = true))

        assertEquals(listOf("b"), directory.view.of(ENGINES).map { it.instance.id.value })
        assertFalse(a.instance in directory.view)
    }

    @Test
    fun `a server whose entry is removed while the store is available is dropped at once`() {
        directory.replaceAll(listOf(a), storeUnavailable = false, now = Moment.ZERO)

        directory.removed(a.instance.id, storeUnavailable = false, now = Moment.ZERO)

        assertFalse(a.instance in directory.view)
    }

    @Test
    fun `servers whose entries lapse during a store outage stay in use until a grace period after its recovery`() {
        directory.replaceAll(listOf(a), storeUnavailable = false, now = Moment.ZERO)
        val recovered = Moment.ZERO + 5.seconds
        directory.storeRecovered(recovered)
        directory.replaceAll(emptyList(), storeUnavailable = false, now = recovered)

        directory.expireLapsed(storeUnavailable = false, now = recovered + 1_500.milliseconds)
        assertTrue(a.instance in directory.view)

        directory.expireLapsed(storeUnavailable = false, now = recovered + 2_100.milliseconds)
        assertFalse(a.instance in directory.view)
    }

    @Test
    fun `a later outage too short for entries to lapse does not extend the grace period`() {
        val recovered = Moment.ZERO + 5.seconds
        val health = StoreHealth(EventSink.NONE) { directory.storeRecovered(it) }
        directory.replaceAll(listOf(a), storeUnavailable = false, now = Moment.ZERO)
        health.recordFailure("cut", Moment.ZERO)
        health.recordSuccess(recovered)
        directory.replaceAll(emptyList(), health.entriesMayHaveExpired(recovered), recovered)
        health.recordFailure("slow", recovered + 400.milliseconds)
        health.recordSuccess(recovered + 800.milliseconds)

        directory.expireLapsed(health.entriesMayHaveExpired(recovered + 2.seconds), recovered + 2.seconds)

        assertFalse(a.instance in directory.view)
    }

    @Test
    fun `a lapsed server that is listed again stays in use`() {
        directory.replaceAll(listOf(a), storeUnavailable = false, now = Moment.ZERO)
        directory.replaceAll(emptyList(), storeUnavailable = true, now = Moment.ZERO)
        directory.changed(a)

        directory.expireLapsed(storeUnavailable = false, now = Moment.ZERO + 9.seconds)

        assertTrue(a.instance in directory.view)
    }

    // Guards against requests to a server that has said in its answers that it leaves (DRAIN).
    @Test
    fun `a server that was heard to leave gets no new requests, whatever the store says later`() {
        directory.replaceAll(listOf(a, server("b")), storeUnavailable = false, now = Moment.ZERO)
        assertTrue(directory.leavingHeard(a.instance))
        assertFalse(directory.leavingHeard(a.instance))
        assertFalse(a.instance in directory.view)

        directory.changed(a)
        assertFalse(a.instance in directory.view)
        directory.storeRestored(Moment.ZERO + 1.seconds)
        directory.replaceAll(listOf(a, server("b")), storeUnavailable = false, now = Moment.ZERO + 1.seconds)
        assertFalse(a.instance in directory.view)
        directory.removed(a.instance.id, storeUnavailable = true, now = Moment.ZERO + 2.seconds)
        directory.expireLapsed(storeUnavailable = true, now = Moment.ZERO + 2.seconds)
        assertEquals(listOf("b"), directory.view.of(ENGINES).map { it.instance.id.value })
    }

    @Test
    fun `a server that is heard to leave before it is listed gets no requests, a new run of it does`() {
        directory.leavingHeard(a.instance)
        directory.changed(a)
        assertFalse(a.instance in directory.view)

        val restarted = a.copy(instance = a.instance.copy(startedAtMillis = 2))
        directory.changed(restarted)

        assertTrue(restarted.instance in directory.view)
    }

    // The list is replaced on one thread while another hears that servers leave.
    @Test
    fun `no server that was heard to leave is in a view that is published meanwhile`() {
        listOf(3, 100, 300).forEach { size ->
            val servers = List(size) { server("s$it") }
            directory.replaceAll(servers, storeUnavailable = false, now = Moment.ZERO)
            val following = thread { repeat(200) { directory.replaceAll(servers, false, Moment.ZERO) } }
            servers.drop(1).forEach {
                directory.leavingHeard(it.instance)
                assertFalse(it.instance in directory.view)
            }
            following.join()

            assertEquals(listOf("s0"), directory.view.of(ENGINES).map { it.instance.id.value })
        }
    }

    /**
     * Guards against requests to a server that left before the store was restored, and was listed again by the copy.
     */
    @Test
    fun `a server that this node has seen drain gets no requests when a restored store lists it as ready`() {
        directory.replaceAll(listOf(a, server("b")), storeUnavailable = false, now = Moment.ZERO)
        directory.changed(server("a", draining = true))
        directory.storeRestored(Moment.ZERO + 1.seconds)
        directory.replaceAll(listOf(a, server("b")), storeUnavailable = false, now = Moment.ZERO + 1.seconds)

        directory.expireLapsed(storeUnavailable = false, now = Moment.ZERO + 60.seconds)

        assertEquals(listOf("b"), directory.view.of(ENGINES).map { it.instance.id.value })
    }

    @Test
    fun `a server that has gone is used again only if the restored store lists it for long, or it writes its entry`() {
        listOf(a, server("b")).let { directory.replaceAll(it, storeUnavailable = false, now = Moment.ZERO) }
        directory.removed(a.instance.id, storeUnavailable = false, now = Moment.ZERO)
        directory.removed(server("b").instance.id, storeUnavailable = false, now = Moment.ZERO)
        val restored = Moment.ZERO + 1.seconds
        directory.storeRestored(restored)
        directory.replaceAll(listOf(a, server("b")), storeUnavailable = false, now = restored)
        assertEquals(0, directory.view.servers.size)

        directory.changed(a)
        assertEquals(listOf(a), directory.view.servers)

        directory.expireLapsed(storeUnavailable = false, now = restored + 9.seconds)
        assertEquals(setOf(a, server("b")), directory.view.servers.toSet())
    }

    @Test
    fun `a server that came back before the restore stays in use`() {
        directory.replaceAll(listOf(a), storeUnavailable = false, now = Moment.ZERO)
        directory.removed(a.instance.id, storeUnavailable = false, now = Moment.ZERO)
        directory.changed(a)

        directory.storeRestored(Moment.ZERO + 1.seconds)
        directory.replaceAll(listOf(a), storeUnavailable = false, now = Moment.ZERO + 1.seconds)

        assertTrue(a.instance in directory.view)
    }

    @Test
    fun `a server whose entry the restored store has lost stays in use until a grace period after the restore`() {
        directory.replaceAll(listOf(a), storeUnavailable = false, now = Moment.ZERO)
        val restored = Moment.ZERO + 1.seconds
        directory.storeRestored(restored)
        directory.replaceAll(emptyList(), storeUnavailable = false, now = restored)

        assertTrue(a.instance in directory.view)
        directory.expireLapsed(storeUnavailable = false, now = restored + 2_100.milliseconds)
        assertFalse(a.instance in directory.view)
    }

    @Test
    fun `a restart under the same id is another instance`() {
        directory.replaceAll(listOf(a), storeUnavailable = false, now = Moment.ZERO)

        directory.changed(a.copy(instance = a.instance.copy(startedAtMillis = 2)))

        assertFalse(a.instance in directory.view)
        assertEquals(1, directory.view.of(ENGINES).size)
    }
}
