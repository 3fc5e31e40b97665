package org.persimmonrelay.entry

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import org.persimmonrelay.catalog.KeyVerifier
import org.persimmonrelay.catalog.Workspace
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.outcome.Refusal

/** A caller whose key was accepted for this request. */
internal data class Caller(val keyName: String, val workspace: Workspace)

/** Authenticates each request by its API key, including later requests on the same connection. */
internal class ApiKeyAuthenticator(private val keys: KeyVerifier, private val clock: Clock) {
    fun authenticate(call: ApplicationCall): Either<Refusal.NotRun, Caller> {
        val presentedKey = presentedKey(call) ?: return refused("Send the key as `Authorization: Bearer KEY`.").left()
        return keys.verify(presentedKey, clock.now()).flatMap { verified ->
            verified.workspace?.let { Caller(verified.key.name, it).right() }
                ?: refused("This key belongs to no workspace; use a caller's key.").left()
        }
    }

    private fun refused(message: String) = Refusal.NotRun(NotRunReason.INVALID_KEY, message)

    companion object {
        private const val SCHEME = "Bearer "

        /** The key in the `Authorization` header of [call]; null if there is none. */
        fun presentedKey(call: ApplicationCall): String? {
            val header = call.request.headers[HttpHeaders.Authorization] ?: return null
            if (!header.startsWith(SCHEME, ignoreCase = true)) return null
            return header.substring(SCHEME.length).trim().ifEmpty { null }
        }
    }
}
