package org.persimmonrelay.cli.ctl

import io.ktor.http.HttpMethod

/** A request to the administration API, and the kind of its response. [ifMatch] is the expected version. */
internal data class CtlRequest(
    val method: HttpMethod,
    val path: String,
    val query: Map<String, String> = emptyMap(),
    val body: String? = null,
    val ifMatch: Long? = null,
    val responseKind: AnswerKind = AnswerKind.CHANGE,
) {
    /** True when a successful call may change the configuration. */
    val changes: Boolean
        get() = method != HttpMethod.Get
}

/** Kinds of responses; each has its own text output. */
internal enum class AnswerKind { CHANGE, ISSUED_KEY, LIST, OBJECT, STATUS, CHANGE_RECORD }
