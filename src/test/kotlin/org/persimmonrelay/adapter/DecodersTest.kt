package org.persimmonrelay.adapter

import org.persimmonrelay.backend.EngineStage
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.WorkspaceId
import org.persimmonrelay.platform.FeedRow
import org.persimmonrelay.route.RouteKind
import org.persimmonrelay.route.ServiceId
import org.persimmonrelay.timeline.EventSink
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.milliseconds

class DecodersTest {
    private val configurations = ConfigDecoder(EventSink.NONE)
    private val servers = ServerDecoder(EventSink.NONE)

    @Test
    fun `all parts of a configuration are decoded`() {
        val table = assertNotNull(
            configurations.decode(
                """
                {"version":7,"routes":[{"name":"r","host":"A.example","prefix":"/x/","kind":"streaming",
                "timeout_ms":5000,"target_latency_ms":600,"priority":2,"max_attempts":2,"resumable":true,
                "gap_target_ms":250,"traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}]}],
                "services":[{"name":"s1","max_connections":300,"engine":{"slots":48,"kv_capacity":444000},
                "scaling":{"min":1,"max":6,"boot_s":4.0,"spot_price":0.18,"zone_prices":{"puget-a":1.0}}}],
                "limits":{"max_header_bytes":16384,"idle_timeout_ms":15000},
                "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1}]}
                """.encodeToByteArray(),
            ),
        )

        val route = assertNotNull(table.match("a.example", "/x/y"))
        assertEquals(RouteKind.Streaming(resumable = true, pauseTarget = 250.milliseconds), route.kind)
        assertEquals(listOf(90, 10), route.services.map { it.weight })
        assertEquals(WorkspaceId("t1"), table.workspaceOf("k2")?.id)
        assertEquals(6, table.services[ServiceId("s1")]?.scaling?.max)
        assertEquals(16_384, table.limits.headerBytes)
    }

    @Test
    fun `invalid entries are left out and the others are used`() {
        val table = assertNotNull(
            configurations.decode(
                """
                {"version":8,"extra":[],"routes":[5,{"name":"no-host","prefix":"/x/"},
                {"name":"odd","host":"a.example","prefix":"/y/","kind":"psychic","service":"s"},
                {"name":"good","host":"a.example","prefix":"/z/","kind":"idempotent","service":"s",
                "timeout_ms":"soon","priority":null}],"services":"none","tenants":[{"api_keys":["k"]}]}
                """.encodeToByteArray(),
            ),
        )

        assertEquals(1, table.routeCount)
        assertEquals("good", table.match("a.example", "/z/")?.name)
        assertEquals(true, table.keysRequired)
        assertNull(table.workspaceOf("k"))
    }

    @Test
    fun `bytes that are no configuration are decoded as null`() {
        listOf("", "[]", "{", "{\"version\":\"x\"}").forEach {
            assertNull(configurations.decode(it.encodeToByteArray()), it)
        }
    }

    @Test
    fun `a server is decoded with its start time as part of its instance`() {
        val row = row(
            """{"service":"s1","address":"10.0.0.9:8080","zone":"puget-a","slots":48,"state":"ready",
            "stage":"prefill","spot":true,"born":1778820008064}""",
        )

        val server = assertNotNull(servers.decode(row))

        assertEquals(1_778_820_008_064, server.instance.startedAtMillis)
        assertEquals(EngineStage.PREFILL, server.stage)
        assertEquals(FailureDomain("puget-a"), server.domain)
        assertEquals(true, server.isSpot)
    }

    @Test
    fun `malformed server entries are decoded as null`() {
        listOf(
            "\u0000\u0001",
            "7",
            "{}",
            """{"service":"s","address":"nowhere","zone":"z","state":"ready"}""",
            """{"service":"s","address":"10.0.0.9:80","zone":"z","state":"dancing"}""",
            """{"service":"s","address":"name.example:80","zone":"z","state":"ready"}""",
            """{"service":4,"address":"10.0.0.9:80","zone":"z","state":"ready"}""",
        ).forEach { assertNull(servers.decode(row(it)), it) }
    }

    private fun row(value: String) = FeedRow("i-1", value.encodeToByteArray())
}
