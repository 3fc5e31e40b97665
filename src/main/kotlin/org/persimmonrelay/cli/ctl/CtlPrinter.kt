package org.persimmonrelay.cli.ctl

import kotlinx.serialization.json.Json
import org.persimmonrelay.admin.AdminError
import org.persimmonrelay.admin.AdminErrorResponse
import org.persimmonrelay.admin.ChangeRecord
import org.persimmonrelay.admin.ChangeResponse
import org.persimmonrelay.admin.IssueResponse
import org.persimmonrelay.admin.ObjectList
import org.persimmonrelay.admin.StatusResponse
import org.persimmonrelay.catalog.CatalogJson
import org.persimmonrelay.catalog.StoredObject
import java.io.PrintStream

/** Prints responses of the administration API and errors. */
internal interface CtlPrinter {
    fun response(kind: AnswerKind, body: String)

    fun error(error: AdminError)
}

/** Prints the JSON of the node unchanged. */
internal class CtlJsonPrinter(private val out: PrintStream, private val err: PrintStream) : CtlPrinter {
    override fun response(kind: AnswerKind, body: String) = out.println(body)

    override fun error(error: AdminError) =
        err.println(CatalogJson.output.encodeToString(AdminErrorResponse.serializer(), AdminErrorResponse(error)))
}

/** Prints tables and text for people. */
internal class CtlTextPrinter(private val out: PrintStream, private val err: PrintStream) : CtlPrinter {
    private val json: Json = CatalogJson.compact

    override fun response(kind: AnswerKind, body: String) = when (kind) {
        AnswerKind.CHANGE -> change(json.decodeFromString(ChangeResponse.serializer(), body))
        AnswerKind.ISSUED_KEY -> issued(json.decodeFromString(IssueResponse.serializer(), body))
        AnswerKind.LIST -> list(json.decodeFromString(ObjectList.serializer(), body).items)
        AnswerKind.OBJECT -> out.println(body)
        AnswerKind.STATUS -> status(json.decodeFromString(StatusResponse.serializer(), body))
        AnswerKind.CHANGE_RECORD -> record(json.decodeFromString(ChangeRecord.serializer(), body))
    }

    override fun error(error: AdminError) {
        err.println("${error.code}: ${error.message}")
        err.println("  ${error.remedy}")
    }

    private fun change(answer: ChangeResponse) {
        when {
            answer.dryRun -> out.println("Would become version ${answer.version}:")
            answer.operation == null -> out.println("Unchanged: already up to date at version ${answer.version}.")
            else -> out.println(
                "Version ${answer.version}, confirmed by ${answer.confirmed} of ${answer.expected} nodes:",
            )
        }
        answer.changed.forEach { out.println("  $it") }
    }

    private fun issued(answer: IssueResponse) {
        out.println(answer.secret)
        err.println(
            "This is shown only now. ${answer.change.changed.joinToString()}, version ${answer.change.version}.",
        )
    }

    private fun list(items: List<StoredObject>) {
        val rows = items.map { listOf(it.value.name, it.version.toString(), labels(it), ObjectDetails.of(it.value)) }
        CtlTable(listOf("NAME", "VERSION", "LABELS", "DETAILS")).print(rows, out)
    }

    private fun labels(item: StoredObject) =
        item.value.labels.toSortedMap().entries.joinToString(",") { "${it.key}=${it.value}" }

    private fun status(answer: StatusResponse) {
        out.println("node ${answer.node}, version ${answer.version}")
        out.println("ready ${answer.ready}, keys fresh ${answer.keysFresh}")
        out.println("table service confirmed: ${answer.storeConfirmedMillisAgo?.let { "$it ms ago" } ?: "never"}")
        out.println(answer.objects.entries.joinToString { "${it.value} ${it.key}" })
        val rows = answer.members.map { listOf(it.node, it.domain, it.region, it.state) }
        CtlTable(listOf("MEMBER", "FAILURE DOMAIN", "REGION", "STATE")).print(rows, out)
    }

    private fun record(record: ChangeRecord) {
        out.println("Version ${record.version}, operation ${record.operation}:")
        record.changed.forEach { out.println("  $it") }
    }
}
