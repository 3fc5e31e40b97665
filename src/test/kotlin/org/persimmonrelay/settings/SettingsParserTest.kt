package org.persimmonrelay.settings

import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class SettingsParserTest {
    private val parser = SettingsParser()

    @Test
    fun `a complete file is parsed with default bounds`() {
        val settings = parser.parse(VALID).getOrNull()

        assertEquals("node-1", settings?.node)
        assertEquals(BoundSettings(), settings?.bounds)
    }

    @Test
    fun `all schema errors are reported at once with their paths`() {
        val text =
            VALID
                .replace("\"node\": \"node-1\",", "\"nod\": 5,")
                .replace("\"port\": 8080", "\"port\": \"http\"")

        val paths = errors(text).map { it.path }

        assertEquals(listOf("$.nod", "$.node", "$.entry.port"), paths)
    }

    @Test
    fun `all invalid values are reported at once with a remedy`() {
        val text =
            VALID
                .replace("\"host\": \"127.0.0.1\", \"port\": 8082", "\"host\": \"10.0.0.1\", \"port\": 70000")
                .replace("http://127.0.0.1:9/table", "table")
                .replace("\"environment\": \"DIGEST\"", "")
                .replace("\"bounds\": {}", "\"bounds\": {\"keyFreshnessSeconds\": 60, \"leaseToleranceSeconds\": 11}")

        val found = errors(text)

        val expected =
            listOf(
                "$.peer.port",
                "$.peer.tls",
                "$.platform.table",
                "$.secrets.keyDigest",
                "$.bounds.keyFreshnessSeconds",
                "$.bounds.leaseToleranceSeconds",
            )
        assertEquals(expected, found.map { it.path })
        assertTrue(found.all { it.remedy.isNotBlank() })
    }

    @Test
    fun `text that is not JSON is one error at the root`() {
        val found = errors("{ node: ")

        assertEquals("$", found.single().path)
        assertContains(found.single().toString(), "JSON")
    }

    private fun errors(text: String) = checkNotNull(parser.parse(text).leftOrNull()).toList()

    private companion object {
        val VALID =
            """
            {
              "node": "node-1",
              "domain": "puget-a",
              "region": "puget",
              "entry": {"host": "127.0.0.1", "port": 8080},
              "admin": {"host": "127.0.0.1", "port": 8081},
              "peer": {"host": "127.0.0.1", "port": 8082},
              "platform": {
                "table": "http://127.0.0.1:9/table",
                "objects": "http://127.0.0.1:9/objects",
                "orders": "http://127.0.0.1:9/orders",
                "usage": "http://127.0.0.1:9/usage",
                "hosts": "http://127.0.0.1:9/hosts",
                "weights": "http://127.0.0.1:9/weights"
              },
              "secrets": {"keyDigest": {"environment": "DIGEST"}, "operatorKey": {"file": "operator.key"}},
              "bounds": {}
            }
            """.trimIndent()
    }
}
