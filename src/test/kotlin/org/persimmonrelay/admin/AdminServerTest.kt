package org.persimmonrelay.admin

import io.ktor.server.application.plugin
import io.ktor.server.routing.RoutingRoot
import io.ktor.server.routing.getAllRoutes
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import org.persimmonrelay.catalog.CatalogJson
import org.persimmonrelay.catalog.ObjectKind
import org.persimmonrelay.catalog.ObjectRef
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class AdminServerTest {
    private val harness = AdminHarness()
    private val http = HttpClient.newHttpClient()

    @AfterTest
    fun stop() = harness.close()

    @Test
    fun `openapi lists exactly the installed routes`() {
        val described = Json.parseToJsonElement(call("GET", "/openapi.json").body())
            .jsonObject.getValue("paths").jsonObject
            .flatMap { (path, calls) -> calls.jsonObject.keys.map { "${it.uppercase()} $path" } }
            .toSet()

        val root = harness.server.application.plugin(RoutingRoot)

        assertEquals(described, root.getAllRoutes().map { installed(it.toString()) }.toSet())
    }

    @Test
    fun `a request without a valid operator's key is rejected and changes nothing`() {
        val body = """{"weight":2}"""

        val withoutKey = call("PUT", "/workspaces/a", body, key = null)
        val wrong = call("PUT", "/workspaces/a", body, key = "pr_wrong")

        assertEquals(listOf(401, 401), listOf(withoutKey.statusCode(), wrong.statusCode()))
        assertEquals("unauthorized", error(withoutKey).code)
        assertEquals(0, harness.catalog.state.current.version)
    }

    @Test
    fun `a workspace's key is rejected and an operator's key is accepted until it is withdrawn`() {
        call("PUT", "/workspaces/a", "{}")
        val ofWorkspace = secret(call("POST", "/keys/k1/issue", """{"workspace":"a"}"""))
        val ofOperator = secret(call("POST", "/keys/k2/issue"))

        assertEquals(403, call("GET", "/status", key = ofWorkspace).statusCode())
        assertEquals(200, call("GET", "/status", key = ofOperator).statusCode())
        call("POST", "/keys/k2/withdraw")

        assertEquals(401, call("GET", "/status", key = ofOperator).statusCode())
    }

    @Test
    fun `concurrent writers get a conflict with the current version`() {
        call("PUT", "/workspaces/a", "{}")
        call("PUT", "/workspaces/a", """{"weight":2}""", headers = mapOf("If-Match" to "\"1\""))

        val stale = call("PUT", "/workspaces/a", """{"weight":3}""", headers = mapOf("If-Match" to "\"1\""))
        val existing = call("PUT", "/workspaces/a", """{"weight":3}""", headers = mapOf("If-None-Match" to "*"))

        assertEquals(listOf(409, 409), listOf(stale.statusCode(), existing.statusCode()))
        assertEquals(2, error(stale).version)
    }

    @Test
    fun `an apply with an invalid object changes nothing and lists all errors`() {
        val body = """{"objects":[{"kind":"workspace","name":"ok"},{"kind":"pool","name":"p","servers":"in in"},
            |{"kind":"workspace","name":"w","weight":0}]}
        """.trimMargin()

        val response = call("POST", "/apply", body)

        assertEquals(422, response.statusCode())
        assertEquals(listOf("pools/p.servers", "workspaces/w.weight"), error(response).mistakes.map { it.path })
        assertEquals(0, harness.catalog.state.current.version)
    }

    @Test
    fun `patched labels are matched by selectors`() {
        call("POST", "/apply", """{"objects":[{"kind":"workspace","name":"a"},{"kind":"workspace","name":"b"}]}""")

        call("PATCH", "/workspaces/a/labels", """{"set":{"tier":"gold"}}""")
        val selected = call("GET", "/workspaces?selector=tier%3Dgold").body()

        val items = CatalogJson.compact.decodeFromString(ObjectList.serializer(), selected).items
        assertEquals(listOf("a"), items.map { it.value.name })
    }

    @Test
    fun `malformed requests are rejected with the reason`() {
        val unknownField = call("PUT", "/workspaces/a", """{"wieght":2}""")
        val badSelector = call("GET", "/workspaces?selector=a%20in%20x")
        val tooLarge = call("POST", "/apply", " ".repeat(MAX_ADMIN_BODY_BYTES + 1))

        assertEquals(listOf(400, 400, 413), listOf(unknownField, badSelector, tooLarge).map { it.statusCode() })
        assertTrue("wieght" in error(unknownField).message)
        assertTrue("character 6" in error(badSelector).message)
    }

    @Test
    fun `a change during an outage of the table service fails and is not made`() {
        harness.table.faults.down = true

        val response = call("PUT", "/workspaces/a", "{}")

        assertEquals(503, response.statusCode())
        assertEquals("store_unavailable", error(response).code)
        assertNull(harness.catalog.state.current.find(ObjectRef(ObjectKind.WORKSPACE, "a")))
    }

    @Test
    fun `the record of a change contains its operation id`() {
        val stored = call("PUT", "/workspaces/a", "{}")
        val change = CatalogJson.compact.decodeFromString(ChangeResponse.serializer(), stored.body())

        val record = call("GET", "/changes/1").body()

        assertEquals(
            change.operation,
            CatalogJson.compact.decodeFromString(ChangeRecord.serializer(), record).operation,
        )
    }

    private fun call(
        method: String,
        path: String,
        body: String = "",
        key: String? = AdminHarness.BOOTSTRAP_KEY,
        headers: Map<String, String> = emptyMap(),
    ): HttpResponse<String> {
        val request = HttpRequest.newBuilder(URI("${harness.url}/admin/v1$path"))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
        key?.let { request.header("Authorization", "Bearer $it") }
        headers.forEach(request::header)
        return http.send(request.build(), HttpResponse.BodyHandlers.ofString())
    }

    private fun error(response: HttpResponse<String>): AdminError =
        CatalogJson.compact.decodeFromString(AdminErrorResponse.serializer(), response.body()).error

    private fun secret(response: HttpResponse<String>): String =
        CatalogJson.compact.decodeFromString(IssueResponse.serializer(), response.body()).secret

    private fun installed(route: String): String {
        val method = route.substringAfter("(method:").substringBefore(")")
        return "$method ${route.substringBefore("/(method:")}"
    }
}
