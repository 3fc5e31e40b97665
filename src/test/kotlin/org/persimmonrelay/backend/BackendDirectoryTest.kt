package org.persimmonrelay.backend

import org.persimmonrelay.backend.BackendServers.ENGINES
import org.persimmonrelay.backend.BackendServers.server
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.platform.StoreHealth
import org.persimmonrelay.timeline.EventSink
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
    fun `a leaving server gets no new requests from the moment that it is known to leave`() {
        directory.replaceAll(listOf(a, server("b")), storeUnavailable = false, now = Moment.ZERO)

        directory.changed(server("a", leaving = true))

        assertEquals(listOf("b"), directory.view.of(ENGINES).map { it.instance.id.value })
        assertFalse(a.instance in directory.view)
    }

    @Test
    fun `an entry that vanishes while the store is steady is gone at once`() {
        directory.replaceAll(listOf(a), storeUnavailable = false, now = Moment.ZERO)

        directory.removed(a.instance.id, storeUnavailable = false, now = Moment.ZERO)

        assertFalse(a.instance in directory.view)
    }

    @Test
    fun `entries that lapse with the store stay in use until it has been back for a while`() {
        directory.replaceAll(listOf(a), storeUnavailable = false, now = Moment.ZERO)
        val back = Moment.ZERO + 5.seconds
        directory.storeRecovered(back)
        directory.replaceAll(emptyList(), storeUnavailable = false, now = back)

        directory.expireLapsed(storeUnavailable = false, now = back + 1_500.milliseconds)
        assertTrue(a.instance in directory.view)

        directory.expireLapsed(storeUnavailable = false, now = back + 2_100.milliseconds)
        assertFalse(a.instance in directory.view)
    }

    @Test
    fun `a later gap that is too short for a lapse does not keep a lapsed server in use`() {
        val back = Moment.ZERO + 5.seconds
        val health = StoreHealth(EventSink.NONE) { directory.storeRecovered(it) }
        directory.replaceAll(listOf(a), storeUnavailable = false, now = Moment.ZERO)
        health.recordFailure("cut", Moment.ZERO)
        health.recordSuccess(back)
        directory.replaceAll(emptyList(), health.entriesMayHaveExpired(back), back)
        health.recordFailure("slow", back + 400.milliseconds)
        health.recordSuccess(back + 800.milliseconds)

        directory.expireLapsed(health.entriesMayHaveExpired(back + 2.seconds), back + 2.seconds)

        assertFalse(a.instance in directory.view)
    }

    @Test
    fun `a lapsed server that is listed again stays`() {
        directory.replaceAll(listOf(a), storeUnavailable = false, now = Moment.ZERO)
        directory.replaceAll(emptyList(), storeUnavailable = true, now = Moment.ZERO)
        directory.changed(a)

        directory.expireLapsed(storeUnavailable = false, now = Moment.ZERO + 9.seconds)

        assertTrue(a.instance in directory.view)
    }

    @Test
    fun `a restart under the same id is another instance`() {
        directory.replaceAll(listOf(a), storeUnavailable = false, now = Moment.ZERO)

        directory.changed(a.copy(instance = a.instance.copy(startedAtMillis = 2)))

        assertFalse(a.instance in directory.view)
        assertEquals(1, directory.view.of(ENGINES).size)
    }
}
