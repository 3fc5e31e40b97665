package org.persimmonrelay.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Where the entry listens and what it allows.
 *
 * [answerBytes] bounds the answer of a plain service and [connectTimeout] the making of a connection to one.
 * [bodyTimeout] bounds the arrival of a request's body, [writeTimeout] a caller that doesn't read.
 * A running answer under a withdrawn key may go on for [withdrawnFinish]; keys of requests that wait or run are
 * checked every [keyCheck]. [maxAttempts] counts the sends of one request to engines.
 */
public data class EntrySettings(
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val maxBodyBytes: Long = DEFAULT_BODY_BYTES,
    val maxHeaderBytes: Int = DEFAULT_HEADER_BYTES,
    val maxOpenRequests: Int = 20_000,
    val answerBytes: Long = DEFAULT_ANSWER_BYTES,
    val connectTimeout: Duration = 2.seconds,
    val bodyTimeout: Duration = 10.seconds,
    val writeTimeout: Duration = 30.seconds,
    val withdrawnFinish: Duration = 30.seconds,
    val keyCheck: Duration = 200.milliseconds,
    val maxAttempts: Int = 4,
    val labelledWorkspaces: Int = 50,
) {
    private companion object {
        const val DEFAULT_BODY_BYTES = 8L * 1024 * 1024
        const val DEFAULT_ANSWER_BYTES = 32L * 1024 * 1024
        const val DEFAULT_HEADER_BYTES = 32 * 1024
    }
}
