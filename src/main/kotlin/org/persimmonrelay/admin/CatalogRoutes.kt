package org.persimmonrelay.admin

import arrow.core.raise.Raise
import arrow.core.raise.ensure
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.patch
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.persimmonrelay.catalog.CatalogChangeResult
import org.persimmonrelay.catalog.CatalogEdit
import org.persimmonrelay.catalog.CatalogJson
import org.persimmonrelay.catalog.CatalogManager
import org.persimmonrelay.catalog.CatalogObject
import org.persimmonrelay.catalog.CatalogState
import org.persimmonrelay.catalog.ChangeReceipt
import org.persimmonrelay.catalog.ChangeRequest
import org.persimmonrelay.catalog.ExpectedVersion
import org.persimmonrelay.catalog.KeyFactory
import org.persimmonrelay.catalog.ObjectRef
import org.persimmonrelay.catalog.SelectorParser
import org.persimmonrelay.catalog.StoredObject
import org.persimmonrelay.catalog.ref

/** Reads and changes objects of the configuration. */
public class CatalogRoutes(
    private val state: CatalogState,
    private val manager: CatalogManager,
    private val keyFactory: KeyFactory,
) : AdminRoutes {
    override fun installIn(route: Route) {
        with(route) {
            get("/{kind}") { call.answer { list(call) } }
            get("/{kind}/{name}") { call.answer { read(call) } }
            put("/{kind}/{name}") { call.answer { put(call) } }
            delete("/{kind}/{name}") { call.answer { delete(call) } }
            patch("/{kind}/{name}/labels") { call.answer { label(call) } }
            post("/apply") { call.answer { apply(call) } }
            post("/keys/{name}/issue") { call.answer { issue(call) } }
            post("/keys/{name}/withdraw") { call.answer { withdraw(call) } }
            post("/servers/{name}/drain") { call.answer { drain(call) } }
            get("/changes/{version}") { call.answer { change(call) } }
        }
    }

    private fun Raise<AdminFailure>.list(call: RoutingCall): AdminAnswer<ObjectList> {
        val kind = call.kind(this)
        val text = call.request.queryParameters["selector"].orEmpty()
        val selector = SelectorParser.parse(text)
            .mapLeft {
                AdminFailure.BadRequest(it.message, "Write requirements such as \"zone=a, tier in (x, y), !old\".")
            }
            .bind()
        val view = state.current
        val items = view.select(kind, selector).map { StoredObject(view.versionOf(it.ref) ?: 0, it) }
        return AdminAnswer(ObjectList.serializer(), ObjectList(view.version, items), version = view.version)
    }

    private fun Raise<AdminFailure>.read(call: RoutingCall): AdminAnswer<StoredObject> {
        val ref = call.ref(this)
        val view = state.current
        val value = view.find(ref) ?: raise(missing(ref))
        val version = view.versionOf(ref) ?: 0
        return AdminAnswer(StoredObject.serializer(), StoredObject(version, value), version = version)
    }

    private suspend fun Raise<AdminFailure>.put(call: RoutingCall): AdminAnswer<ChangeResponse> {
        val ref = call.ref(this)
        val fields = call.body(this, JsonObject.serializer())
        val named = mapOf("kind" to JsonPrimitive(ref.kind.singular), "name" to JsonPrimitive(ref.name)) + fields
        val value = decoded(CatalogJson.input, CatalogObject.serializer(), JsonObject(named).toString())
        ensure(value.ref == ref) {
            AdminFailure.BadRequest("The body names ${value.ref}, the path $ref.", "Make both the same.")
        }
        return change(CatalogEdits.put(value), call, expectation(call, ref))
    }

    private suspend fun Raise<AdminFailure>.delete(call: RoutingCall): AdminAnswer<ChangeResponse> {
        val ref = call.ref(this)
        return change(CatalogEdits.delete(ref), call, expectation(call, ref))
    }

    private suspend fun Raise<AdminFailure>.label(call: RoutingCall): AdminAnswer<ChangeResponse> {
        val ref = call.ref(this)
        val patch = call.body(this, LabelPatch.serializer())
        return change(CatalogEdits.label(ref, patch), call, expectation(call, ref))
    }

    private suspend fun Raise<AdminFailure>.apply(call: RoutingCall): AdminAnswer<ChangeResponse> {
        val request = call.body(this, ApplyRequest.serializer())
        val head = call.ifMatch(this)
        return answerTo(
            stored(ChangeRequest(CatalogEdits.apply(request), head, request.expect, call.flag("dryRun"))),
        )
    }

    private suspend fun Raise<AdminFailure>.issue(call: RoutingCall): AdminAnswer<IssueResponse> {
        val request = call.body(this, IssueRequest.serializer())
        val issued = keyFactory.issue(call.parameters["name"].orEmpty(), request.workspace, request.labels)
        val receipt = stored(ChangeRequest(CatalogEdits.issue(issued.key)))
        val change = answerTo(receipt)
        return AdminAnswer(IssueResponse.serializer(), IssueResponse(issued.secret, change.value), change.status)
    }

    private suspend fun Raise<AdminFailure>.withdraw(call: RoutingCall): AdminAnswer<ChangeResponse> =
        change(CatalogEdits.withdraw(call.parameters["name"].orEmpty(), call.flag("cut")), call)

    private suspend fun Raise<AdminFailure>.drain(call: RoutingCall): AdminAnswer<ChangeResponse> =
        change(CatalogEdits.drain(call.parameters["name"].orEmpty(), !call.flag("off")), call)

    private suspend fun Raise<AdminFailure>.change(call: RoutingCall): AdminAnswer<ChangeRecord> {
        val text = call.parameters["version"].orEmpty()
        val version = text.toLongOrNull() ?: raise(AdminFailure.BadRequest("\"$text\" is no version.", "Use a number."))
        val delta = manager.deltaOf(version).mapLeft { AdminFailure.StoreUnavailable(it.message) }.bind()
            ?: raise(AdminFailure.NoSuchThing("Version $version is not stored, or no longer.", "See `ctl status`."))
        val record = ChangeRecord(delta.version, delta.operation.value, delta.changes.map { it.ref })
        return AdminAnswer(ChangeRecord.serializer(), record)
    }

    private suspend fun Raise<AdminFailure>.change(
        edit: CatalogEdit,
        call: RoutingCall,
        expected: List<ExpectedVersion> = emptyList(),
    ): AdminAnswer<ChangeResponse> =
        answerTo(stored(ChangeRequest(edit, expected = expected, dryRun = call.flag("dryRun"))))

    private suspend fun Raise<AdminFailure>.stored(request: ChangeRequest): ChangeReceipt =
        manager.apply(request).mapLeft(AdminFailure::NotChanged).bind()

    private fun Raise<AdminFailure>.expectation(call: RoutingCall, ref: ObjectRef): List<ExpectedVersion> {
        if (call.request.headers[HttpHeaders.IfNoneMatch] == "*") return listOf(ExpectedVersion(ref, null))
        return call.ifMatch(this)?.let { listOf(ExpectedVersion(ref, it)) }.orEmpty()
    }

    private fun answerTo(receipt: ChangeReceipt): AdminAnswer<ChangeResponse> {
        val answer = when (val result = receipt.result) {
            is CatalogChangeResult.Unchanged -> ChangeResponse(result.version)
            is CatalogChangeResult.Checked -> ChangeResponse(
                result.version,
                result.changes.map {
                    it.ref
                },
                dryRun = true,
            )
            is CatalogChangeResult.Stored -> ChangeResponse(
                version = result.version,
                changed = result.delta.changes.map { it.ref },
                operation = result.operation.value,
                confirmed = receipt.replication?.confirmed ?: 0,
                expected = receipt.replication?.expected ?: 0,
                inForce = receipt.replication?.isMajority ?: true,
            )
        }
        val status = if (answer.inForce) HttpStatusCode.OK else HttpStatusCode.Accepted
        return AdminAnswer(ChangeResponse.serializer(), answer, status, answer.version)
    }

    private fun missing(ref: ObjectRef) =
        AdminFailure.NoSuchThing("There is no $ref.", "List the names with `ctl get ${ref.kind.plural}`.")
}
