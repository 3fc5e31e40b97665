package org.persimmonrelay.catalog

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.decodeFromStream
import kotlinx.serialization.json.encodeToStream
import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.util.zip.GZIPInputStream
import java.util.zip.GZIPOutputStream

/** JSON formats of the configuration. The field `kind` states the kind of an object. */
public object CatalogJson {
    /** For requests of operators; an unknown field is an error. */
    public val input: Json = Json { classDiscriminator = "kind" }

    /** For responses to operators: indented, with all fields. */
    public val output: Json = Json(input) {
        encodeDefaults = true
        prettyPrint = true
    }

    /** For rows, snapshots and peers: without indentation; unknown fields, written by newer nodes, are ignored. */
    public val compact: Json = Json(input) { ignoreUnknownKeys = true }

    /** Encodes [snapshot] as gzipped JSON. */
    @OptIn(ExperimentalSerializationApi::class)
    public fun encode(snapshot: Snapshot): ByteArray {
        val bytes = ByteArrayOutputStream()
        GZIPOutputStream(bytes).use { compact.encodeToStream(Snapshot.serializer(), snapshot, it) }
        return bytes.toByteArray()
    }

    /** Decodes bytes written by [encode]. Throws IOException or IllegalArgumentException for invalid data. */
    @OptIn(ExperimentalSerializationApi::class)
    public fun decodeSnapshot(bytes: ByteArray): Snapshot =
        GZIPInputStream(ByteArrayInputStream(bytes)).use { compact.decodeFromStream(Snapshot.serializer(), it) }
}
