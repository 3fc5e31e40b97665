package org.persimmonrelay.cli

import kotlinx.serialization.json.Json

/** JSON output of commands; includes properties with default values. */
internal object JsonLines {
    /** Writes a value on one line. */
    val format = Json { encodeDefaults = true }

    /** Writes a value indented over several lines. */
    val pretty = Json {
        encodeDefaults = true
        prettyPrint = true
    }

    inline fun <reified T> encode(value: T): String = format.encodeToString(value)
}
