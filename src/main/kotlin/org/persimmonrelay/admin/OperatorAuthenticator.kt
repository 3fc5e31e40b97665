package org.persimmonrelay.admin

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.persimmonrelay.catalog.KeyDigester
import org.persimmonrelay.catalog.KeyVerifier
import org.persimmonrelay.clock.Clock

/**
 * Authenticates operators by a key without a workspace or by the bootstrap key from the settings. The bootstrap key
 * also works before the first key exists and when key states can't be confirmed.
 */
public class OperatorAuthenticator(
    private val keys: KeyVerifier,
    private val digester: KeyDigester,
    private val clock: Clock,
    bootstrapKey: String,
) {
    private val bootstrapDigest = digester.digest(bootstrapKey)

    /** Checks the `Authorization` header; returns the reason if it is rejected. */
    public fun authenticate(authorization: String?): Either<AdminFailure, Unit> {
        val presented = authorization?.takeIf { it.startsWith(SCHEME, ignoreCase = true) }?.drop(SCHEME.length)?.trim()
            ?: return AdminFailure.Unauthorized("The request has no bearer key.").left()
        if (digester.matches(presented, bootstrapDigest)) return Unit.right()
        return when (val verified = keys.verify(presented, clock.now())) {
            is Either.Left -> AdminFailure.of(verified.value).left()
            is Either.Right -> if (verified.value.key.workspace == null) Unit.right() else NOT_AN_OPERATOR
        }
    }

    private companion object {
        const val SCHEME = "Bearer "
        val NOT_AN_OPERATOR = AdminFailure.NotAnOperator.left()
    }
}
