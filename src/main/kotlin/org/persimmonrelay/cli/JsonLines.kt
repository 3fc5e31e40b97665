package org.persimmonrelay.cli

import kotlinx.serialization.json.Json

/** JSON as commands print it, defaults included. */
internal object JsonLines {
    /** One value on one line. */
    val format = Json { encodeDefaults = true }

    /** One value over several lines. */
    val pretty = Json {
        encodeDefaults = true
        prettyPrint = true
    }

    inline fun <reified T> encode(value: T): String = format.encodeToString(value)
}
