/*
 * Plain services under `/s/{service}/`. A call that must not be repeated is sent at most once: with an
 * `Idempotency-Key`, its outcome is recorded and returned for later calls; without one, a single attempt is made.
 */
package org.persimmonrelay.entry

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.ktor.http.BadContentTypeFormatException
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.uri
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import org.persimmonrelay.catalog.BackendServerConfig
import org.persimmonrelay.catalog.PlainService
import org.persimmonrelay.identity.WorkspaceId
import org.persimmonrelay.once.IdempotencyManager
import org.persimmonrelay.once.IdempotentResult
import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.outcome.Refusal
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

/** Forwards calls to plain services. */
internal class ServiceHandler(
    private val authenticator: ApiKeyAuthenticator,
    private val bodyReader: RequestBodyReader,
    private val servers: CatalogServers,
    private val client: ServiceClient,
    private val once: IdempotencyManager,
    private val requestsByKey: RequestsByKey,
    private val events: EventSink,
) {
    private val nextServerIndex = AtomicInteger()

    suspend fun handle(call: ApplicationCall, name: String): Either<Refusal, Unit> {
        val service = servers.view.service(name) ?: return unknown(name).left()
        return caller(call, service).flatMap {
            readBody(call, name).flatMap { body ->
                // The key may have been withdrawn while the body was received.
                caller(call, service).fold({ it.left() }, { caller -> serve(call, RoutedCall(service, caller), body) })
            }
        }
    }

    private fun caller(call: ApplicationCall, service: PlainService): Either<Refusal.NotRun, Caller?> {
        if (service.open) return null.right()
        return authenticator.authenticate(call).flatMap { caller ->
            if (servers.view.mayUse(caller.workspace, service)) caller.right() else unknown(service.name).left()
        }
    }

    private suspend fun readBody(call: ApplicationCall, name: String): Either<Refusal.NotRun, ByteArray> {
        val target = target(call, name)
        val contentType = call.request.headers[HttpHeaders.ContentType]
        return when {
            target.substringBefore('?').split('/').any { it == ".." } -> bad("The path must not contain `..`.").left()
            contentType != null && !isValidContentType(contentType) ->
                bad("The content type can't be read; mend it.").left()
            else -> bodyReader.read(call)
        }
    }

    private suspend fun serve(call: ApplicationCall, routed: RoutedCall, body: ByteArray): Either<Refusal, Unit> {
        val request = serviceRequest(call, routed, body)
        val idempotencyKey = call.request.headers[IDEMPOTENCY_KEY]
        val isRunOnce = request.method.value in routed.service.onceMethods
        return when {
            isRunOnce && idempotencyKey != null -> runOnce(call, routed, request, idempotencyKey)
            request.method in SAFE_METHODS -> forward(call, routed, request, SAFE_ATTEMPTS)
            else -> forward(call, routed, request, 1)
        }
    }

    private suspend fun runOnce(
        call: ApplicationCall,
        routed: RoutedCall,
        request: ServiceRequest,
        key: String,
    ): Either<Refusal, Unit> {
        val claim = IdempotencyRecords.claim(routed.workspace, routed.service.name, key, request)
        // The outcome must be recorded even if the caller disconnects; the service's timeout limits the call.
        val result =
            withContext(NonCancellable) {
                once.run(claim) { IdempotencyRecords.outcome(sendWithRetries(routed.service, request, 1)) }
            }
        return when (result) {
            is IdempotentResult.Refused -> result.refusal.left()
            is IdempotentResult.Executed -> ServiceResponses.send(
                call,
                IdempotencyRecords.response(result.response),
            ).right()
            is IdempotentResult.Replayed -> ServiceResponses.sendReplay(
                call,
                IdempotencyRecords.response(result.response),
            ).right()
        }
    }

    private suspend fun forward(
        call: ApplicationCall,
        routed: RoutedCall,
        request: ServiceRequest,
        attempts: Int,
    ): Either<Refusal, Unit> {
        val outcome = requestsByKey.runWithdrawable(routed.caller?.keyName) {
            sendWithRetries(routed.service, request, attempts)
        }
        return when (outcome) {
            null -> Refusal.OutcomeUnknown("The key was withdrawn and the call cut; use a valid key.").left()
            is ServiceCallOutcome.Answered -> ServiceResponses.send(call, outcome.response).right()
            is ServiceCallOutcome.NotSent -> Refusal.NotRun(NotRunReason.NO_SERVER, outcome.message, RETRY_AFTER).left()
            is ServiceCallOutcome.Unknown -> Refusal.OutcomeUnknown(outcome.message).left()
        }
    }

    private suspend fun sendWithRetries(
        service: PlainService,
        request: ServiceRequest,
        attempts: Int,
    ): ServiceCallOutcome {
        var attemptsLeft = attempts
        var failedServer: BackendServerConfig? = null
        while (true) {
            val server = chooseServer(service, failedServer) ?: return ServiceCallOutcome.NotSent(NO_SERVER)
            val outcome = client.send(server.address, request, service.timeoutSeconds.seconds)
            attemptsLeft--
            if (outcome !is ServiceCallOutcome.Answered) recordFailure(service, server)
            if (outcome !is ServiceCallOutcome.NotSent || attemptsLeft == 0) return outcome
            failedServer = server
        }
    }

    /** The next server in round-robin order, in a failure domain other than that of [failedServer] if there is one. */
    private fun chooseServer(service: PlainService, failedServer: BackendServerConfig?): BackendServerConfig? {
        val all = servers.acceptingWork(service)
        val otherDomains = all.filter { it.domain != failedServer?.domain }
        val candidates = otherDomains.ifEmpty { all.filter { it.name != failedServer?.name } }.ifEmpty { all }
        if (candidates.isEmpty()) return null
        return candidates[Math.floorMod(nextServerIndex.getAndIncrement(), candidates.size)]
    }

    private fun recordFailure(service: PlainService, server: BackendServerConfig) =
        events.record(EntryEvent.SERVICE_CALL_FAILED, "service" with service.name, "server" with server.name)

    private fun serviceRequest(call: ApplicationCall, routed: RoutedCall, body: ByteArray): ServiceRequest {
        val workspaceHeader = routed.caller?.let { listOf(HeaderPolicy.WORKSPACE to it.workspace.name) }.orEmpty()
        return ServiceRequest(
            method = call.request.httpMethod,
            target = target(call, routed.service.name),
            headers =
            HeaderPolicy.requestHeaders(call.request.headers, ApiKeyAuthenticator.presentedKey(call)) +
                workspaceHeader,
            contentType = call.request.headers[HttpHeaders.ContentType],
            body = body,
        )
    }

    private fun target(call: ApplicationCall, name: String) =
        call.request.uri.substringAfter("/s/$name", "").let { if (it.startsWith("/")) it else "/$it" }

    private fun isValidContentType(contentType: String): Boolean = try {
        ContentType.parse(contentType)
        true
    } catch (_: BadContentTypeFormatException) {
        false
    }

    private fun unknown(name: String) = Refusal.NotRun(
        NotRunReason.UNKNOWN_ROUTE,
        "There is no service `$name` for this caller; ask the operator for its name.",
    )

    private fun bad(message: String) = Refusal.NotRun(NotRunReason.BAD_REQUEST, message)

    private class RoutedCall(val service: PlainService, val caller: Caller?) {
        val workspace = WorkspaceId(caller?.workspace?.name.orEmpty())
    }

    private companion object {
        const val IDEMPOTENCY_KEY = "Idempotency-Key"
        const val SAFE_ATTEMPTS = 2
        const val NO_SERVER = "No server of this service takes work now; try again after the given time."
        val RETRY_AFTER = 2.seconds
        val SAFE_METHODS = setOf(HttpMethod.Get, HttpMethod.Head, HttpMethod.Options)
    }
}
