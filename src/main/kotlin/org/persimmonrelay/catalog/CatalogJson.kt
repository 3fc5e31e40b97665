package org.persimmonrelay.catalog

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.decodeFromStream
import kotlinx.serialization.json.encodeToStream
import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.util.zip.GZIPInputStream
import java.util.zip.GZIPOutputStream

/** How configuration is written as JSON. An object's kind is the field `kind`. */
public object CatalogJson {
    /** For what operators send: an unknown field is a mistake. */
    public val input: Json = Json { classDiscriminator = "kind" }

    /** For what operators get: all fields, indented. */
    public val output: Json = Json(input) {
        encodeDefaults = true
        prettyPrint = true
    }

    /** For rows, snapshots and peers: compact, and fields that a newer node wrote are skipped. */
    public val compact: Json = Json(input) { ignoreUnknownKeys = true }

    /** [snapshot] as compressed JSON. */
    @OptIn(ExperimentalSerializationApi::class)
    public fun encode(snapshot: Snapshot): ByteArray {
        val bytes = ByteArrayOutputStream()
        GZIPOutputStream(bytes).use { compact.encodeToStream(Snapshot.serializer(), snapshot, it) }
        return bytes.toByteArray()
    }

    /** The reverse of [encode]; throws for bytes that are no snapshot. */
    @OptIn(ExperimentalSerializationApi::class)
    public fun decodeSnapshot(bytes: ByteArray): Snapshot =
        GZIPInputStream(ByteArrayInputStream(bytes)).use { compact.decodeFromStream(Snapshot.serializer(), it) }
}
