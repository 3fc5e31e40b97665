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

/** Routes that read and change configuration objects. */
public class CatalogRoutes(
    private val state: CatalogState,
    private val manager: CatalogManager,
    private val keyFactory: KeyFactory,
) : AdminRoutes {
    override fun installIn(route: Route) {
        with(route) {
            get("/{kind}") { call.handle { list(call) } }
            get("/{kind}/{name}") { call.handle { read(call) } }
            put("/{kind}/{name}") { call.handle { put(call) } }
            delete("/{kind}/{name}") { call.handle { delete(call) } }
            patch("/{kind}/{name}/labels") { call.handle { label(call) } }
            post("/apply") { call.handle { apply(call) } }
            post("/keys/{name}/issue") { call.handle { issue(call) } }
            post("/keys/{name}/withdraw") { call.handle { withdraw(call) } }
            post("/servers/{name}/drain") { call.handle { drain(call) } }
            get("/changes/{version}") { call.handle { change(call) } }
        }
    }

    private fun Raise<AdminFailure>.list(call: RoutingCall): AdminResult<ObjectList> {
        val kind = call.kind(this)
        val text = call.request.queryParameters["selector"].orEmpty()
        val selector = SelectorParser.parse(text)
            .mapLeft {
                AdminFailure.BadRequest(it.message, "Write requirements such as \"zone=a, tier in (x, y), !old\".")
            }
            .bind()
        val view = state.current
        val items = view.select(kind, selector).map { StoredObject(view.versionOf(it.ref) ?: 0, it) }
        return AdminResult(ObjectList.serializer(), ObjectList(view.version, items), version = view.version)
    }

    private fun Raise<AdminFailure>.read(call: RoutingCall): AdminResult<StoredObject> {
        val ref = call.ref(this)
        val view = state.current
        val value = view.find(ref) ?: raise(notFound(ref))
        val version = view.versionOf(ref) ?: 0
        return AdminResult(StoredObject.serializer(), StoredObject(version, value), version = version)
    }

    private suspend fun Raise<AdminFailure>.put(call: RoutingCall): AdminResult<ChangeResponse> {
        val ref = call.ref(this)
        val fields = call.body(this, JsonObject.serializer())
        val named = mapOf("kind" to JsonPrimitive(ref.kind.singular), "name" to JsonPrimitive(ref.name)) + fields
        val value = decode(CatalogJson.input, CatalogObject.serializer(), JsonObject(named).toString())
        ensure(value.ref == ref) {
            AdminFailure.BadRequest("The body names ${value.ref}, the path $ref.", "Make both the same.")
        }
        return change(CatalogEdits.put(value), call, expectedVersions(call, ref))
    }

    private suspend fun Raise<AdminFailure>.delete(call: RoutingCall): AdminResult<ChangeResponse> {
        val ref = call.ref(this)
        return change(CatalogEdits.delete(ref), call, expectedVersions(call, ref))
    }

    private suspend fun Raise<AdminFailure>.label(call: RoutingCall): AdminResult<ChangeResponse> {
        val ref = call.ref(this)
        val patch = call.body(this, LabelPatch.serializer())
        return change(CatalogEdits.label(ref, patch), call, expectedVersions(call, ref))
    }

    private suspend fun Raise<AdminFailure>.apply(call: RoutingCall): AdminResult<ChangeResponse> {
        val request = call.body(this, ApplyRequest.serializer())
        val expectedHead = call.ifMatch(this)
        return changeResult(
            applyChange(ChangeRequest(CatalogEdits.apply(request), expectedHead, request.expect, call.flag("dryRun"))),
        )
    }

    private suspend fun Raise<AdminFailure>.issue(call: RoutingCall): AdminResult<IssueResponse> {
        val request = call.body(this, IssueRequest.serializer())
        val issued = keyFactory.issue(call.parameters["name"].orEmpty(), request.workspace, request.labels)
        val receipt = applyChange(ChangeRequest(CatalogEdits.issue(issued.key)))
        val change = changeResult(receipt)
        return AdminResult(IssueResponse.serializer(), IssueResponse(issued.secret, change.value), change.status)
    }

    private suspend fun Raise<AdminFailure>.withdraw(call: RoutingCall): AdminResult<ChangeResponse> =
        change(CatalogEdits.withdraw(call.parameters["name"].orEmpty(), call.flag("cut")), call)

    private suspend fun Raise<AdminFailure>.drain(call: RoutingCall): AdminResult<ChangeResponse> =
        change(CatalogEdits.drain(call.parameters["name"].orEmpty(), !call.flag("off")), call)

    private suspend fun Raise<AdminFailure>.change(call: RoutingCall): AdminResult<ChangeRecord> {
        val text = call.parameters["version"].orEmpty()
        val version = text.toLongOrNull() ?: raise(AdminFailure.BadRequest("\"$text\" is no version.", "Use a number."))
        val delta = manager.deltaOf(version).mapLeft { AdminFailure.StoreUnavailable(it.message) }.bind()
            ?: raise(AdminFailure.NotFound("Version $version is not stored, or no longer.", "See `ctl status`."))
        val record = ChangeRecord(delta.version, delta.operation.value, delta.changes.map { it.ref })
        return AdminResult(ChangeRecord.serializer(), record)
    }

    private suspend fun Raise<AdminFailure>.change(
        edit: CatalogEdit,
        call: RoutingCall,
        expected: List<ExpectedVersion> = emptyList(),
    ): AdminResult<ChangeResponse> =
        changeResult(applyChange(ChangeRequest(edit, expected = expected, dryRun = call.flag("dryRun"))))

    private suspend fun Raise<AdminFailure>.applyChange(request: ChangeRequest): ChangeReceipt =
        manager.apply(request).mapLeft(AdminFailure::ChangeFailed).bind()

    private fun Raise<AdminFailure>.expectedVersions(call: RoutingCall, ref: ObjectRef): List<ExpectedVersion> {
        if (call.request.headers[HttpHeaders.IfNoneMatch] == "*") return listOf(ExpectedVersion(ref, null))
        return call.ifMatch(this)?.let { listOf(ExpectedVersion(ref, it)) }.orEmpty()
    }

    private fun changeResult(receipt: ChangeReceipt): AdminResult<ChangeResponse> {
        val response = when (val result = receipt.result) {
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
        val status = if (response.inForce) HttpStatusCode.OK else HttpStatusCode.Accepted
        return AdminResult(ChangeResponse.serializer(), response, status, response.version)
    }

    private fun notFound(ref: ObjectRef) =
        AdminFailure.NotFound("There is no $ref.", "List the names with `ctl get ${ref.kind.plural}`.")
}
