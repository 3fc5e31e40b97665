package org.persimmonrelay.cli.ctl

import io.ktor.http.HttpStatusCode
import kotlinx.serialization.SerializationException
import org.persimmonrelay.admin.AdminError
import org.persimmonrelay.admin.AdminErrorResponse
import org.persimmonrelay.catalog.CatalogJson

/** Prints the result of a call and maps it to an exit code. */
internal class CtlReporter(private val printer: CtlPrinter) {
    fun report(request: CtlRequest, result: CtlResult): CtlExit = when (result) {
        is CtlResult.Responded -> responded(request, result)
        is CtlResult.NotConnected -> {
            printer.error(AdminError("unreachable", result.message, "Check --server, or try another node."))
            CtlExit.UNAVAILABLE
        }
        is CtlResult.NoResponse -> noResponse(request, result)
    }

    private fun responded(request: CtlRequest, result: CtlResult.Responded): CtlExit {
        val exit = CtlExit.of(result.status)
        val accepted = result.status == HttpStatusCode.OK || result.status == HttpStatusCode.Accepted
        if (accepted) printer.response(request.responseKind, result.body) else printer.error(errorIn(result))
        if (result.status == HttpStatusCode.Accepted) printer.error(NOT_CONFIRMED)
        return exit
    }

    private fun noResponse(request: CtlRequest, result: CtlResult.NoResponse): CtlExit {
        if (!request.changes) {
            printer.error(AdminError("no_answer", result.message, "Try again, or try another node."))
            return CtlExit.UNAVAILABLE
        }
        val remedy =
            if (request.responseKind == AnswerKind.ISSUED_KEY) {
                "The key may have been issued, but its secret is lost: withdraw it and issue a key with another name."
            } else {
                "Check with `ctl get` whether the change was stored; repeating it is safe, as an up-to-date object " +
                    "stays as it is."
            }
        printer.error(AdminError("outcome_unknown", result.message, remedy))
        return CtlExit.OUTCOME_UNKNOWN
    }

    private fun errorIn(result: CtlResult.Responded): AdminError = try {
        CatalogJson.compact.decodeFromString(AdminErrorResponse.serializer(), result.body).error
    } catch (_: SerializationException) {
        AdminError(
            code = "unexpected_answer",
            message = "The response has status ${result.status} and is not from the administration API.",
            remedy = "Check that --server is a node's administration address.",
        )
    }

    private companion object {
        val NOT_CONFIRMED = AdminError(
            code = "not_in_force_everywhere",
            message = "The change is stored, but a majority of the nodes has not confirmed it yet.",
            remedy = "Disconnected nodes catch up when they reconnect; `ctl status` at each node shows its version. " +
                "Until then, a node that reaches neither the table service nor this node may use the old version.",
        )
    }
}
