package org.persimmonrelay.adapter

import org.persimmonrelay.backend.BackendServers
import org.persimmonrelay.backend.CachedPromptPart
import org.persimmonrelay.backend.PromptCacheDelta
import org.persimmonrelay.backend.PromptCacheSnapshot
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.seconds

class EngineReportCodecTest {
    private val codec = EngineReportCodec()

    @Test
    fun `a delta is parsed with its position and its mark for lost changes`() {
        val body = """{"epoch":7,"next":12,"lost":true,
            "events":[[10,"+","","5c1e07a2",800,"m"],[11,"-","","91bd3f06",0,"m"],["odd"],5]}"""

        assertEquals(
            PromptCacheDelta(
                "7",
                12,
                isIncomplete = true,
                listOf(CachedPromptPart("5c1e07a2", 800), CachedPromptPart("91bd3f06", 0)),
            ),
            codec.parseDelta(body.encodeToByteArray()),
        )
    }

    @Test
    fun `a snapshot is parsed`() {
        val body = """{"epoch":"e1","next":3,"held":[["","5c1e07a2",800,"m"]]}"""

        assertEquals(
            PromptCacheSnapshot("e1", 3, listOf(CachedPromptPart("5c1e07a2", 800))),
            codec.parseSnapshot(body.encodeToByteArray()),
        )
    }

    @Test
    fun `a body that is no report is parsed as null`() {
        listOf("", "[]", "{}", """{"epoch":1}""", "<html>").forEach {
            assertNull(codec.parseDelta(it.encodeToByteArray()), it)
            assertNull(codec.parseSnapshot(it.encodeToByteArray()), it)
        }
    }

    @Test
    fun `a delta request names the intended server and the time to wait`() {
        val call = codec.deltaRequest(BackendServers.server("i-1"), after = 5, wait = 1.seconds)

        assertEquals("/api/kv-events?since=5", call.target)
        assertEquals("1000", call.headers["Wait-Ms"])
        assertEquals("i-1", call.headers["Expect-Instance"])
    }
}
