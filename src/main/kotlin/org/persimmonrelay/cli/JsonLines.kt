package org.persimmonrelay.cli

import kotlinx.serialization.json.Json

/** Encodes one value as one line of JSON, defaults included. */
internal object JsonLines {
    val format = Json { encodeDefaults = true }

    inline fun <reified T> encode(value: T): String = format.encodeToString(value)
}
