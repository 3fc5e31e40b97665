package org.persimmonrelay.cli.ctl

import io.ktor.http.HttpMethod

/** One call of the administration API, and how its answer is to be read. */
internal data class CtlRequest(
    val method: HttpMethod,
    val path: String,
    val query: Map<String, String> = emptyMap(),
    val body: String? = null,
    val ifMatch: Long? = null,
    val answer: AnswerKind = AnswerKind.CHANGE,
) {
    /** True when the call changes something unless it fails. */
    val changes: Boolean
        get() = method != HttpMethod.Get
}

/** Kinds of answers, by what they show. */
internal enum class AnswerKind { CHANGE, ISSUED_KEY, LIST, OBJECT, STATUS, CHANGE_RECORD }
