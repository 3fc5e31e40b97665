/*
 * Plain services under `/s/{service}/`. A call that may not be repeated is sent at most once: under an
 * `Idempotency-Key` its outcome is recorded and repeated, without one there is a single attempt.
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

/** Serves calls to plain services. */
internal class ServiceHandler(
    private val gate: KeyGate,
    private val bodies: BodyReader,
    private val servers: ServerSource,
    private val client: ServiceClient,
    private val once: IdempotencyManager,
    private val keys: RunningKeys,
    private val events: EventSink,
) {
    private val turn = AtomicInteger()

    suspend fun handle(call: ApplicationCall, name: String): Either<Refusal, Unit> {
        val service = servers.view.service(name) ?: return unknown(name).left()
        return caller(call, service).flatMap {
            read(call, name).flatMap { body ->
                // The key may have been withdrawn while the body arrived.
                caller(call, service).fold({ it.left() }, { caller -> serve(call, Routed(service, caller), body) })
            }
        }
    }

    private fun caller(call: ApplicationCall, service: PlainService): Either<Refusal.NotRun, Caller?> {
        if (service.open) return null.right()
        return gate.check(call).flatMap { caller ->
            if (servers.view.mayUse(caller.workspace, service)) caller.right() else unknown(service.name).left()
        }
    }

    private suspend fun read(call: ApplicationCall, name: String): Either<Refusal.NotRun, ByteArray> {
        val target = target(call, name)
        val contentType = call.request.headers[HttpHeaders.ContentType]
        return when {
            target.substringBefore('?').split('/').any { it == ".." } -> bad("The path must not contain `..`.").left()
            contentType != null && !isReadable(contentType) -> bad("The content type can't be read; mend it.").left()
            else -> bodies.read(call)
        }
    }

    private suspend fun serve(call: ApplicationCall, routed: Routed, body: ByteArray): Either<Refusal, Unit> {
        val request = outgoing(call, routed, body)
        val idempotencyKey = call.request.headers[IDEMPOTENCY_KEY]
        val mayNotRepeat = request.method.value in routed.service.onceMethods
        return when {
            mayNotRepeat && idempotencyKey != null -> once(call, routed, request, idempotencyKey)
            request.method in SAFE -> answer(call, routed, request, SAFE_ATTEMPTS)
            else -> answer(call, routed, request, 1)
        }
    }

    private suspend fun once(
        call: ApplicationCall,
        routed: Routed,
        request: ServiceCall,
        key: String,
    ): Either<Refusal, Unit> {
        val claim = ServiceClaims.claim(routed.workspace, routed.service.name, key, request)
        // A caller that goes away must not leave the outcome unrecorded; the service's timeout bounds the call.
        val answer =
            withContext(NonCancellable) {
                once.run(claim) { ServiceClaims.end(send(routed.service, request, 1)) }
            }
        return when (answer) {
            is IdempotentResult.Refused -> answer.refusal.left()
            is IdempotentResult.Executed -> ServiceAnswers.send(call, ServiceClaims.answer(answer.response)).right()
            is IdempotentResult.Replayed -> ServiceAnswers.sendReplay(
                call,
                ServiceClaims.answer(answer.response),
            ).right()
        }
    }

    private suspend fun answer(
        call: ApplicationCall,
        routed: Routed,
        request: ServiceCall,
        attempts: Int,
    ): Either<Refusal, Unit> {
        val end = keys.guard(routed.caller?.keyName) { send(routed.service, request, attempts) }
        return when (end) {
            null -> Refusal.OutcomeUnknown("The key was withdrawn and the call cut; use a valid key.").left()
            is ServiceEnd.Answered -> ServiceAnswers.send(call, end.answer).right()
            is ServiceEnd.NotSent -> Refusal.NotRun(NotRunReason.NO_SERVER, end.message, RETRY_AFTER).left()
            is ServiceEnd.Unknown -> Refusal.OutcomeUnknown(end.message).left()
        }
    }

    private suspend fun send(service: PlainService, request: ServiceCall, attempts: Int): ServiceEnd {
        var left = attempts
        var failed: BackendServerConfig? = null
        while (true) {
            val server = pick(service, failed) ?: return ServiceEnd.NotSent(NO_SERVER)
            val end = client.send(server.address, request, service.timeoutSeconds.seconds)
            left--
            if (end !is ServiceEnd.Answered) note(service, server)
            if (end !is ServiceEnd.NotSent || left == 0) return end
            failed = server
        }
    }

    /** The next server in turn, in another failure domain than [failed] if one stands. */
    private fun pick(service: PlainService, failed: BackendServerConfig?): BackendServerConfig? {
        val all = servers.takingWork(service)
        val elsewhere = all.filter { it.domain != failed?.domain }
        val others = elsewhere.ifEmpty { all.filter { it.name != failed?.name } }.ifEmpty { all }
        if (others.isEmpty()) return null
        return others[Math.floorMod(turn.getAndIncrement(), others.size)]
    }

    private fun note(service: PlainService, server: BackendServerConfig) =
        events.record(EntryEvent.SERVICE_CALL_FAILED, "service" with service.name, "server" with server.name)

    private fun outgoing(call: ApplicationCall, routed: Routed, body: ByteArray): ServiceCall {
        val own = routed.caller?.let { listOf(HeaderPolicy.WORKSPACE to it.workspace.name) }.orEmpty()
        return ServiceCall(
            method = call.request.httpMethod,
            target = target(call, routed.service.name),
            headers = HeaderPolicy.outgoing(call.request.headers, KeyGate.presented(call)) + own,
            contentType = call.request.headers[HttpHeaders.ContentType],
            body = body,
        )
    }

    private fun target(call: ApplicationCall, name: String) =
        call.request.uri.substringAfter("/s/$name", "").let { if (it.startsWith("/")) it else "/$it" }

    private fun isReadable(contentType: String): Boolean = try {
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

    private class Routed(val service: PlainService, val caller: Caller?) {
        val workspace = WorkspaceId(caller?.workspace?.name.orEmpty())
    }

    private companion object {
        const val IDEMPOTENCY_KEY = "Idempotency-Key"
        const val SAFE_ATTEMPTS = 2
        const val NO_SERVER = "No server of this service takes work now; try again after the given time."
        val RETRY_AFTER = 2.seconds
        val SAFE = setOf(HttpMethod.Get, HttpMethod.Head, HttpMethod.Options)
    }
}
