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

/** Handles completion requests: authenticates and validates them, runs them and writes the response. */
internal class CompletionHandler(
    private val authenticator: ApiKeyAuthenticator,
    private val bodyReader: RequestBodyReader,
    private val servers: CatalogServers,
    private val queues: DispatchQueues,
    private val runner: CompletionRunner,
    private val requestsByKey: RequestsByKey,
    private val idGenerator: RequestIdGenerator,
    private val usageMeter: UsageMeter,
    private val metrics: EntryMetrics,
    private val clock: Clock,
) {
    suspend fun handle(call: ApplicationCall, kind: CompletionKind): Either<Refusal, Unit> =
        authenticator.authenticate(call).flatMap { caller ->
            bodyReader
                .read(call)
                .flatMap { CompletionRequestParser.parse(kind, it.decodeToString()) }
                .flatMap { params -> resolve(caller, params) }
                .fold({ it.left() }, { serve(call, caller, it) })
        }

    private fun resolve(caller: Caller, params: CompletionParams): Either<Refusal.NotRun, Resolved> {
        val view = servers.view
        val deployment = view.deploymentsFor(caller.workspace).firstOrNull { it.name == params.model }
        val tokens = TokenEstimate.of(params.prompt)
        return when {
            deployment == null -> unknownModel(params.model).left()
            tokens > deployment.maxPromptTokens -> tooLong(tokens, deployment).left()
            else -> Resolved(deployment, params, tokens).right()
        }
    }

    private suspend fun serve(call: ApplicationCall, caller: Caller, resolved: Resolved): Either<Refusal, Unit> {
        val id = idGenerator.next()
        val job = createJob(id, caller, resolved)
        val counter = UsageCounter()
        val writer = CompletionResponseWriter(call, resolved.params, id, clock, metrics, counter)
        requestsByKey.add(caller.keyName, job)
        try {
            return coroutineScope { writer.write(runner.start(this, job)) }
        } catch (e: CancellationException) {
            metrics.cancelled()
            throw e
        } finally {
            requestsByKey.remove(caller.keyName, job)
            recordUsage(caller, counter)
        }
    }

    private fun recordUsage(caller: Caller, counter: UsageCounter) {
        if (counter.promptTokens == 0 && counter.outputTokens == 0) return
        usageMeter.record(
            WorkspaceId(caller.workspace.name),
            counter.promptTokens.toLong(),
            counter.outputTokens.toLong(),
        )
        metrics.tokens(caller.workspace.name, counter.promptTokens, counter.outputTokens)
    }

    private fun createJob(id: RequestId, caller: Caller, resolved: Resolved): CompletionJob {
        val (deployment, params, tokens) = resolved
        val maxTokens = minOf(params.maxTokens ?: deployment.maxOutputTokens, deployment.maxOutputTokens)
        val dispatch =
            DispatchRequest(
                id = id,
                workspace = WorkspaceId(caller.workspace.name),
                weight = caller.workspace.weight,
                promptTokens = tokens,
                maxOutputTokens = maxTokens,
                prefixBlocks = PromptBlockHashes.of(params.prompt),
                priority = 0,
                firstTokenBy = clock.now() + deployment.firstTokenSeconds.seconds,
                limits = servers.view.limitsFor(caller.workspace, deployment),
            )
        val request =
            GenerateRequest(
                request = id,
                attempt = 0,
                model = deployment.adapter ?: deployment.model,
                prompt = params.prompt,
                maxTokens = maxTokens,
            )
        return CompletionJob(queues.of(deployment), dispatch, request)
    }

    private fun unknownModel(model: String) = Refusal.NotRun(
        NotRunReason.UNKNOWN_MODEL,
        "The model `$model` doesn't exist or isn't open to this workspace; `GET /v1/models` lists those that are.",
    )

    private fun tooLong(tokens: Int, deployment: Deployment) = Refusal.NotRun(
        NotRunReason.PROMPT_TOO_LONG,
        "The prompt has about $tokens tokens and the model takes ${deployment.maxPromptTokens}; shorten it.",
    )

    private data class Resolved(val deployment: Deployment, val params: CompletionParams, val promptTokens: Int)
}
