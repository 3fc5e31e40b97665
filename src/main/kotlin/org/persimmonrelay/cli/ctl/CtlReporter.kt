package org.persimmonrelay.cli.ctl

import io.ktor.http.HttpStatusCode
import kotlinx.serialization.SerializationException
import org.persimmonrelay.admin.AdminError
import org.persimmonrelay.admin.AdminErrorResponse
import org.persimmonrelay.catalog.CatalogJson

/** Decides what an answer means for the operator, and prints it. */
internal class CtlReporter(private val printer: CtlPrinter) {
    fun report(request: CtlRequest, answer: CtlAnswer): CtlExit = when (answer) {
        is CtlAnswer.Answered -> answered(request, answer)
        is CtlAnswer.NotConnected -> {
            printer.error(AdminError("unreachable", answer.message, "Check --server, or try another node."))
            CtlExit.UNAVAILABLE
        }
        is CtlAnswer.NoAnswer -> noAnswer(request, answer)
    }

    private fun answered(request: CtlRequest, answer: CtlAnswer.Answered): CtlExit {
        val exit = CtlExit.of(answer.status)
        val accepted = answer.status == HttpStatusCode.OK || answer.status == HttpStatusCode.Accepted
        if (accepted) printer.answer(request.answer, answer.body) else printer.error(errorIn(answer))
        if (answer.status == HttpStatusCode.Accepted) printer.error(NOT_IN_FORCE)
        return exit
    }

    private fun noAnswer(request: CtlRequest, answer: CtlAnswer.NoAnswer): CtlExit {
        if (!request.changes) {
            printer.error(AdminError("no_answer", answer.message, "Try again, or another node."))
            return CtlExit.UNAVAILABLE
        }
        val remedy =
            if (request.answer == AnswerKind.ISSUED_KEY) {
                "The key may exist with a secret that nobody has seen: withdraw it and issue one under another name."
            } else {
                "Look with `ctl get` whether the change is there; repeating it is harmless, as what is already so " +
                    "stays as it is."
            }
        printer.error(AdminError("outcome_unknown", answer.message, remedy))
        return CtlExit.OUTCOME_UNKNOWN
    }

    private fun errorIn(answer: CtlAnswer.Answered): AdminError = try {
        CatalogJson.compact.decodeFromString(AdminErrorResponse.serializer(), answer.body).error
    } catch (_: SerializationException) {
        AdminError(
            code = "unexpected_answer",
            message = "The answer has status ${answer.status} and is not of the administration API.",
            remedy = "Check that --server is a node's administration address.",
        )
    }

    private companion object {
        val NOT_IN_FORCE = AdminError(
            code = "not_in_force_everywhere",
            message = "The change is stored, but a majority of the nodes has not confirmed it yet.",
            remedy = "Nodes that are cut off catch up when they return; `ctl status` at each node tells its version. " +
                "Until then a node that reaches neither the table service nor this one may act by the old version.",
        )
    }
}
