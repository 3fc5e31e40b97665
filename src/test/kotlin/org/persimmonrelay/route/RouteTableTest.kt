package org.persimmonrelay.route

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.platform.StoreVersion
import org.persimmonrelay.timeline.EventSink
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.seconds

class RouteTableTest {
    @Test
    fun `the longest prefix of the path wins`() {
        val table = table(1, route("wide", "/a/"), route("narrow", "/a/b/"))

        assertEquals("narrow", table.match("host.example", "/a/b/c")?.name)
        assertEquals("wide", table.match("HOST.example:80", "/a/x")?.name)
    }

    @Test
    fun `a path that does not start with a prefix matches no route`() {
        val table = table(1, route("r", "/a/"))

        assertNull(table.match("host.example", "/a"))
        assertNull(table.match("host.example", "/ab/"))
        assertNull(table.match("other.example", "/a/"))
    }

    @Test
    fun `requests are distributed by weight`() {
        val split = route("r", "/a/").copy(
            services = listOf(WeightedService(ServiceId("x"), 90), WeightedService(ServiceId("y"), 10)),
        )

        assertEquals(100, (0 until 1_000).count { split.serviceFor(it) == ServiceId("y") })
    }

    /**
     * Guards against a configuration of before a restore that stays in force though the operator has written another.
     */
    @Test
    fun `the same version replaces a configuration if it was written to the store later`() {
        val tables = ActiveRouteTable(EventSink.NONE)
        tables.offer(table(7, route("before", "/a/")), Moment.ZERO, StoreVersion(1, 40))
        tables.offer(table(7, route("after", "/a/")), Moment.ZERO, StoreVersion(2, 31))
        tables.offer(table(7, route("before", "/a/")), Moment.ZERO, StoreVersion(1, 90))

        assertEquals("after", tables.current?.match("host.example", "/a/")?.name)
    }

    @Test
    fun `an older version never replaces a newer one`() {
        val tables = ActiveRouteTable(EventSink.NONE)
        tables.offer(table(7), Moment.ZERO)

        tables.offer(table(5), Moment.ZERO + 1.seconds)

        assertEquals(7, tables.current?.version)
        assertEquals(Moment.ZERO, tables.confirmedAt)
    }

    private fun table(version: Long, vararg routes: Route) =
        RouteTable(version, routes.toList(), emptyMap(), CallerLimits(), emptyMap(), keysRequired = false)

    private fun route(name: String, prefix: String) = Route(
        name = name,
        host = "host.example",
        prefix = prefix,
        kind = RouteKind.Idempotent,
        services = listOf(WeightedService(ServiceId("x"), 1)),
        maxAttempts = 1,
        timeout = 1.seconds,
        latencyTarget = 1.seconds,
        priority = 0,
        allowsAnonymous = false,
    )
}
