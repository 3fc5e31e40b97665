package org.persimmonrelay.entry

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.ktor.server.application.ApplicationCall
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.coroutineScope
import org.persimmonrelay.catalog.Deployment
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.engine.GenerateRequest
import org.persimmonrelay.identity.RequestId
import org.persimmonrelay.identity.WorkspaceId
import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.outcome.Refusal
import org.persimmonrelay.routing.DispatchRequest
import org.persimmonrelay.usage.UsageMeter
import kotlin.time.Duration.Companion.seconds

/** Serves requests for answers: checks them, has them relayed and writes the answer. */
internal class CompletionHandler(
    private val gate: KeyGate,
    private val bodies: BodyReader,
    private val servers: ServerSource,
    private val gates: DispatchGates,
    private val relay: AnswerRelay,
    private val keys: RunningKeys,
    private val ids: RequestIds,
    private val usage: UsageMeter,
    private val metrics: EntryMetrics,
    private val clock: Clock,
) {
    suspend fun handle(call: ApplicationCall, form: AnswerForm): Either<Refusal, Unit> =
        gate.check(call).flatMap { caller ->
            bodies
                .read(call)
                .flatMap { RequestReader.read(form, it.decodeToString()) }
                .flatMap { work -> resolve(caller, work) }
                .fold({ it.left() }, { serve(call, caller, it) })
        }

    private fun resolve(caller: Caller, work: CompletionWork): Either<Refusal.NotRun, Resolved> {
        val view = servers.view
        val deployment = view.deploymentsFor(caller.workspace).firstOrNull { it.name == work.model }
        val tokens = TokenEstimate.of(work.prompt)
        return when {
            deployment == null -> unknownModel(work.model).left()
            tokens > deployment.maxPromptTokens -> tooLong(tokens, deployment).left()
            else -> Resolved(deployment, work, tokens).right()
        }
    }

    private suspend fun serve(call: ApplicationCall, caller: Caller, resolved: Resolved): Either<Refusal, Unit> {
        val id = ids.next()
        val job = job(id, caller, resolved)
        val tally = AnswerTally()
        val writer = AnswerWriter(call, resolved.work, id, clock, metrics, tally)
        keys.add(caller.keyName, job)
        try {
            return coroutineScope { writer.write(relay.open(this, job)) }
        } catch (e: CancellationException) {
            metrics.cancelled()
            throw e
        } finally {
            keys.remove(caller.keyName, job)
            record(caller, tally)
        }
    }

    private fun record(caller: Caller, tally: AnswerTally) {
        if (tally.promptTokens == 0 && tally.outputTokens == 0) return
        usage.record(WorkspaceId(caller.workspace.name), tally.promptTokens.toLong(), tally.outputTokens.toLong())
        metrics.tokens(caller.workspace.name, tally.promptTokens, tally.outputTokens)
    }

    private fun job(id: RequestId, caller: Caller, resolved: Resolved): AnswerJob {
        val (deployment, work, tokens) = resolved
        val maxTokens = minOf(work.maxTokens ?: deployment.maxOutputTokens, deployment.maxOutputTokens)
        val dispatch =
            DispatchRequest(
                id = id,
                workspace = WorkspaceId(caller.workspace.name),
                weight = caller.workspace.weight,
                promptTokens = tokens,
                maxOutputTokens = maxTokens,
                prefixBlocks = PromptBlocks.of(work.prompt),
                priority = 0,
                firstTokenBy = clock.now() + deployment.firstTokenSeconds.seconds,
                limits = servers.view.limitsFor(caller.workspace, deployment),
            )
        val request =
            GenerateRequest(
                request = id,
                attempt = 0,
                model = deployment.adapter ?: deployment.model,
                prompt = work.prompt,
                maxTokens = maxTokens,
            )
        return AnswerJob(gates.of(deployment), dispatch, request)
    }

    private fun unknownModel(model: String) = Refusal.NotRun(
        NotRunReason.UNKNOWN_MODEL,
        "The model `$model` doesn't exist or isn't open to this workspace; `GET /v1/models` lists those that are.",
    )

    private fun tooLong(tokens: Int, deployment: Deployment) = Refusal.NotRun(
        NotRunReason.PROMPT_TOO_LONG,
        "The prompt has about $tokens tokens and the model takes ${deployment.maxPromptTokens}; shorten it.",
    )

    private data class Resolved(val deployment: Deployment, val work: CompletionWork, val promptTokens: Int)
}
