package org.persimmonrelay.entry

/** A caller's request for an answer, whichever of the two forms it came in. [maxTokens] is null when not given. */
internal data class CompletionWork(
    val form: AnswerForm,
    val model: String,
    val prompt: String,
    val stream: Boolean,
    val includeUsage: Boolean,
    val maxTokens: Int?,
)

/** The two forms of answers. */
internal enum class AnswerForm(val idPrefix: String, val wholeKind: String, val chunkKind: String) {
    CHAT("chatcmpl-", "chat.completion", "chat.completion.chunk"),
    TEXT("cmpl-", "text_completion", "text_completion"),
}
