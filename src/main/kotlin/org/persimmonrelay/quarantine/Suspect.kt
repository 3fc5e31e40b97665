package org.persimmonrelay.quarantine

import org.persimmonrelay.backend.RequestProfile

/**
 * What may end servers: a shared part of a prompt, or all that a request asks for. [id] tells it from others on every
 * node. [position] is that of the part in its prompt; of two suspects that always came together, the later one concerns
 * fewer requests.
 */
public data class Suspect(val id: String, val position: Int) {
    /** True for all that a request asks for, false for a part of its prompt. */
    public val isContent: Boolean
        get() = position == CONTENT_POSITION

    public companion object {
        /** After all parts of any prompt. */
        public const val CONTENT_POSITION: Int = Int.MAX_VALUE

        /** Longer ids are not pooled, so that the ledger stays small. */
        private const val MAX_ID_LENGTH = 64

        /** A colon can't be in the id of a prompt part. */
        private const val CONTENT_PREFIX = "content:"

        /** The suspects if a server ends as it begins to run [request]. */
        public fun of(request: RequestProfile): List<Suspect> {
            val parts = request.shared.mapIndexed { position, part -> Suspect(part.id, position) }
            val content = request.contentHash?.let { Suspect(CONTENT_PREFIX + it, CONTENT_POSITION) }
            return (parts + listOfNotNull(content)).filter { it.id.length <= MAX_ID_LENGTH }
        }
    }
}
