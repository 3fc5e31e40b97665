package org.persimmonrelay.quarantine

/** When suspects were last in a request with a complete response, for those used most recently. */
internal class RecentCompletions {
    private val bySuspect = object : LinkedHashMap<String, Long>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<String, Long>) = size > MAX_SUSPECTS
    }

    fun record(suspect: String, atMillis: Long) {
        bySuspect[suspect] = atMillis
    }

    /** Unix time in milliseconds; null when none is known. */
    fun lastOf(suspect: String): Long? = bySuspect[suspect]

    private companion object {
        const val MAX_SUSPECTS = 4_096
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
