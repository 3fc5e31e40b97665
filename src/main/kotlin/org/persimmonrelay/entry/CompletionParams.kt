package org.persimmonrelay.entry

/** Parameters of a chat or text completion request. [maxTokens] is null when the request doesn't set it. */
internal data class CompletionParams(
    val kind: CompletionKind,
    val model: String,
    val prompt: String,
    val stream: Boolean,
    val includeUsage: Boolean,
    val maxTokens: Int?,
)

/** Kinds of completions, with the values that mark them in responses. */
internal enum class CompletionKind(val idPrefix: String, val objectName: String, val chunkObjectName: String) {
    CHAT("chatcmpl-", "chat.completion", "chat.completion.chunk"),
    TEXT("cmpl-", "text_completion", "text_completion"),
}
