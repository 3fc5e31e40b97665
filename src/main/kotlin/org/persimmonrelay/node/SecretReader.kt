package org.persimmonrelay.node

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.persimmonrelay.settings.SecretSource
import java.io.File
import java.io.IOException

/** A secret could not be read. [message] names the file or environment variable, never its content. */
public data class SecretFailure(val message: String)

/** Reads secrets from files or environment variables. */
public class SecretReader(private val environment: (String) -> String? = System::getenv) {
    public fun read(source: SecretSource): Either<SecretFailure, ByteArray> {
        val text = fromFile(source.file) ?: source.environment?.let(environment)
        val secret = text?.trim().orEmpty()
        if (secret.length < MIN_CHARACTERS) return SecretFailure(failureMessage(source)).left()
        return secret.toByteArray().right()
    }

    private fun fromFile(path: String?): String? = try {
        path?.let { File(it).readText() }
    } catch (_: IOException) {
        null
    }

    private fun failureMessage(source: SecretSource): String {
        val location = source.file?.let { "file $it" } ?: "environment variable ${source.environment}"
        return "No secret of at least $MIN_CHARACTERS characters in $location; set the same secret on every node."
    }

    private companion object {
        const val MIN_CHARACTERS = 16
    }
}
